//! Merges the chunks of a stream into one JSON completion.

use {
    super::response::usage_body,
    crate::pipeline::{
        prompt::PromptFormat,
        relay::{ResponsePart, TokenUsage, truncated_stream},
    },
    serde_json::{Map, Value, json},
    tokio::sync::mpsc,
};

/// String fields whose chunks are concatenated; all other strings are replaced by the latest chunk.
const CONCATENATED_FIELDS: [&str; 5] =
    ["content", "text", "arguments", "refusal", "reasoning_content"];

/// Collects chunks until the stream is complete.
///
/// # Errors
/// The part that ended the stream early: a refusal, or a caller error reported by the engine.
pub async fn collect_completion(
    form: PromptFormat,
    first: Value,
    mut parts: mpsc::Receiver<ResponsePart>,
) -> Result<Value, ResponsePart> {
    let mut completion = Value::Object(Map::new());
    merge(&mut completion, "", first);
    loop {
        match parts.recv().await {
            Some(ResponsePart::Chunk(chunk)) => merge(&mut completion, "", chunk),
            Some(ResponsePart::Complete(usage)) => return Ok(finish(form, completion, usage)),
            Some(other) => return Err(other),
            // The relay ended without a final part: the completion may be truncated.
            None => return Err(ResponsePart::Refused(Box::new(truncated_stream()))),
        }
    }
}

fn finish(form: PromptFormat, mut completion: Value, usage: TokenUsage) -> Value {
    let choices = completion.get_mut("choices").and_then(Value::as_array_mut);
    choices.into_iter().flatten().filter_map(Value::as_object_mut).for_each(|choice| {
        if let Some(message) = choice.remove("delta") {
            choice.insert("message".into(), message);
        }
    });
    let object = match form {
        PromptFormat::Chat => "chat.completion",
        PromptFormat::Text => "text_completion",
    };
    if let Value::Object(fields) = &mut completion {
        fields.insert("object".into(), json!(object));
        fields.insert("usage".into(), usage_body(usage));
    }
    completion
}

/// Merges `part` into `target`, the value of the field `name`.
fn merge(target: &mut Value, name: &str, part: Value) {
    match (target, part) {
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
        (Value::String(text), Value::String(more)) if CONCATENATED_FIELDS.contains(&name) => {
            text.push_str(&more);
        }
        (_, Value::Null) => {}
        (target, part) => *target = part,
    }
}

/// Merges an item into the one with the same `index`; an item without a match is appended.
fn merge_item(items: &mut Vec<Value>, item: Value) {
    let index = item.get("index").cloned();
    let same = items.iter_mut().find(|one| index.is_some() && one.get("index") == index.as_ref());
    match same {
        Some(present) => merge(present, "", item),
        None => items.push(item),
    }
}
