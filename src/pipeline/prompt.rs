//! Reads a request of the OpenAI form and cuts its prompt into prefix levels.

use {
    super::refusal::CallerRefusal,
    crate::{
        ids::{AdapterId, ModelId, OrganisationId},
        observe::metrics::refusal,
        policy::{
            PrefixLevel,
            prefix::{self, PromptSegment},
        },
    },
    serde_json::Value,
    xxhash_rust::xxh3::xxh3_64,
};

/// Bytes that usual tokenizers make one token of; engines report the true count later.
const BYTES_PER_TOKEN: usize = 4;
/// Long messages are cut into pieces of this many bytes, so that logs that share a start share
/// levels too.
const PIECE_BYTES: usize = 4096;
/// Generated tokens assumed when the caller gives no limit.
const USUAL_OUTPUT_TOKENS: u32 = 512;

/// Which of the two OpenAI forms a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptFormat {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl PromptFormat {
    /// The path of the form, the same at engines.
    pub fn path(self) -> &'static str {
        match self {
            PromptFormat::Chat => "/v1/chat/completions",
            PromptFormat::Text => "/v1/completions",
        }
    }
}

/// A request of the OpenAI form, understood as far as routing needs.
#[derive(Clone, Debug)]
pub struct ParsedPrompt {
    /// Which form it has.
    pub format: PromptFormat,
    /// The model without the adapter.
    pub model: ModelId,
    /// The adapter, from `model:adapter`.
    pub adapter: Option<AdapterId>,
    /// How the caller wants the answer.
    pub delivery: ResponseDelivery,
    /// Prompt pieces in order.
    pub pieces: Vec<Vec<u8>>,
    /// Tokens of the whole prompt, estimated.
    pub prompt_tokens: u32,
    /// Upper limit of generated tokens.
    pub max_output_tokens: u32,
    /// The same for each resend of the same body.
    pub fingerprint: u64,
    /// The body as sent.
    pub body: Value,
}

/// How the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseDelivery {
    /// As one JSON body.
    Buffered,
    /// As server-sent events.
    Streamed,
    /// As server-sent events with a last chunk that counts tokens.
    StreamedWithUsage,
}

impl ParsedPrompt {
    /// Understands `bytes` as a request of `form`.
    ///
    /// # Errors
    /// 400 that names the field and what it must hold.
    pub fn parse(format: PromptFormat, bytes: &[u8]) -> Result<Self, CallerRefusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| malformed(format!("the body is not valid JSON: {error}")))?;
        if !body.is_object() {
            return Err(malformed("the body must be a JSON object"));
        }
        let name = body
            .get("model")
            .and_then(Value::as_str)
            .filter(|name| !name.is_empty())
            .ok_or_else(|| malformed("`model` must name a model; GET /v1/models lists them"))?;
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (name.to_owned(), None),
        };
        let pieces = match format {
            PromptFormat::Chat => chat_pieces(&body)?,
            PromptFormat::Text => text_pieces(&body)?,
        };
        let bytes_in_all: usize = pieces.iter().map(Vec::len).sum();
        Ok(ParsedPrompt {
            format,
            model,
            adapter,
            delivery: delivery(&body)?,
            prompt_tokens: token_count(bytes_in_all),
            pieces,
            max_output_tokens: output_limit(&body)?,
            fingerprint: xxh3_64(bytes),
            body,
        })
    }

    /// The prefix levels of the prompt within one organisation.
    pub fn levels(&self, organisation: &OrganisationId) -> Vec<PrefixLevel> {
        let segments: Vec<PromptSegment<'_>> = self
            .pieces
            .iter()
            .map(|piece| PromptSegment { bytes: piece, tokens: token_count(piece.len()) })
            .collect();
        prefix::levels(organisation, &self.model, self.adapter.as_deref(), &segments)
    }
}

fn malformed(message: impl Into<String>) -> CallerRefusal {
    CallerRefusal::before_run(400, refusal::BAD_REQUEST, message)
}

fn token_count(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn delivery(body: &Value) -> Result<ResponseDelivery, CallerRefusal> {
    let usage = body.pointer("/stream_options/include_usage").and_then(Value::as_bool);
    match body.get("stream") {
        None | Some(Value::Null | Value::Bool(false)) => Ok(ResponseDelivery::Buffered),
        Some(Value::Bool(true)) if usage == Some(true) => Ok(ResponseDelivery::StreamedWithUsage),
        Some(Value::Bool(true)) => Ok(ResponseDelivery::Streamed),
        Some(_) => Err(malformed("`stream` must be true or false")),
    }
}

fn output_limit(body: &Value) -> Result<u32, CallerRefusal> {
    let limit = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    match limit {
        None | Some(Value::Null) => Ok(USUAL_OUTPUT_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|limit| *limit > 0)
            .map(|limit| u32::try_from(limit).unwrap_or(u32::MAX))
            .ok_or_else(|| malformed("`max_tokens` must be a whole number above zero")),
    }
}

/// One piece a message, and long messages in several.
fn chat_pieces(body: &Value) -> Result<Vec<Vec<u8>>, CallerRefusal> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| malformed("`messages` must be a list with at least one message"))?;
    if let Some(at) = messages.iter().position(|message| !is_message(message)) {
        let what = "an object with a `role` text and a `content` text or list";
        return Err(malformed(format!("`messages[{at}]` must be {what}")));
    }
    Ok(messages.iter().flat_map(|message| cut(message.to_string().as_bytes())).collect())
}

fn is_message(message: &Value) -> bool {
    let has_content = matches!(
        message.get("content"),
        Some(Value::String(_) | Value::Array(_) | Value::Null) | None
    );
    message.get("role").is_some_and(Value::is_string) && has_content
}

fn text_pieces(body: &Value) -> Result<Vec<Vec<u8>>, CallerRefusal> {
    let prompt = body
        .get("prompt")
        .and_then(Value::as_str)
        .filter(|prompt| !prompt.is_empty())
        .ok_or_else(|| malformed("`prompt` must be a text that is not empty"))?;
    Ok(cut(prompt.as_bytes()))
}

fn cut(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect()
}
