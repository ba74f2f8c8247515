//! Joins the chunks of a stream into one JSON answer.

use {
    super::response::usage_body,
    crate::pipeline::{
        prompt::PromptForm,
        relay::{AnswerPart, TokenUsage, broken_stream},
    },
    serde_json::{Map, Value, json},
    tokio::sync::mpsc,
};

/// Texts that grow from chunk to chunk; all other texts are replaced.
const GROWING_TEXTS: [&str; 5] = ["content", "text", "arguments", "refusal", "reasoning_content"];

/// Collects chunks until the answer is whole.
///
/// # Errors
/// The part that ended the answer early: a refusal or the engine's own caller error.
pub async fn collect_completion(
    form: PromptForm,
    first: Value,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Result<Value, AnswerPart> {
    let mut answer = Value::Object(Map::new());
    merge(&mut answer, "", first);
    loop {
        match parts.recv().await {
            Some(AnswerPart::Chunk(chunk)) => merge(&mut answer, "", chunk),
            Some(AnswerPart::Whole(usage)) => return Ok(finish(form, answer, usage)),
            Some(other) => return Err(other),
            // The relay ended without a word; a short answer must not pass for a whole one.
            None => return Err(AnswerPart::Refused(Box::new(broken_stream()))),
        }
    }
}

fn finish(form: PromptForm, mut answer: Value, usage: TokenUsage) -> Value {
    let choices = answer.get_mut("choices").and_then(Value::as_array_mut);
    choices.into_iter().flatten().filter_map(Value::as_object_mut).for_each(|choice| {
        if let Some(message) = choice.remove("delta") {
            choice.insert("message".into(), message);
        }
    });
    let object = match form {
        PromptForm::Chat => "chat.completion",
        PromptForm::Text => "text_completion",
    };
    if let Value::Object(fields) = &mut answer {
        fields.insert("object".into(), json!(object));
        fields.insert("usage".into(), usage_body(usage));
    }
    answer
}

/// Merges `part` into `whole`, which stands under the key `name`.
fn merge(whole: &mut Value, name: &str, part: Value) {
    match (whole, part) {
        (Value::Object(fields), Value::Object(more)) => {
            more.into_iter().for_each(|(key, value)| match fields.get_mut(&key) {
                Some(present) => merge(present, &key, value),
                None => {
                    fields.insert(key, value);
                }
            })
        }
        (Value::Array(items), Value::Array(more)) => {
            more.into_iter().for_each(|item| merge_item(items, item));
        }
        (Value::String(text), Value::String(more)) if GROWING_TEXTS.contains(&name) => {
            text.push_str(&more);
        }
        (_, Value::Null) => {}
        (whole, part) => *whole = part,
    }
}

/// Items with an `index` are merged with the item of the same index; others are appended.
fn merge_item(items: &mut Vec<Value>, item: Value) {
    let index = item.get("index").cloned();
    let same = items.iter_mut().find(|one| index.is_some() && one.get("index") == index.as_ref());
    match same {
        Some(present) => merge(present, "", item),
        None => items.push(item),
    }
}
