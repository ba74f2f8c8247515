//! Parses requests in the OpenAI format and splits their prompts into prefix levels.

use {
    super::refusal::CallerRefusal,
    crate::{
        ids::{AdapterId, ModelId, OrganisationId},
        observe::metrics::refusal,
        policy::{
            PrefixLevel,
            prefix::{self, PromptSegment},
            suspect,
        },
    },
    serde_json::Value,
    xxhash_rust::xxh3::xxh3_64,
};

/// Average bytes per token of common tokenizers; engines report the exact count later.
const BYTES_PER_TOKEN: usize = 4;
/// Size of the chunks that long messages are split into, so that long messages with a common
/// beginning have prefix levels in common.
const CHUNK_BYTES: usize = 4096;
/// Assumed number of generated tokens if the caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 512;

/// The OpenAI API that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptFormat {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl PromptFormat {
    /// The request path, which is the same at the router and at engines.
    pub fn path(self) -> &'static str {
        match self {
            PromptFormat::Chat => "/v1/chat/completions",
            PromptFormat::Text => "/v1/completions",
        }
    }
}

/// A request in the OpenAI format, with the fields that routing needs.
#[derive(Clone, Debug)]
pub struct ParsedPrompt {
    /// The API that the request uses.
    pub format: PromptFormat,
    /// The model name without the adapter.
    pub model: ModelId,
    /// The adapter, from a model name of the form `model:adapter`.
    pub adapter: Option<AdapterId>,
    /// The requested form of the response.
    pub delivery: ResponseDelivery,
    /// The prompt in chunks, in order.
    pub chunks: Vec<Vec<u8>>,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Upper limit of the generated tokens.
    pub max_output_tokens: u32,
    /// Hash of the body, equal for retries by the caller with the same body.
    pub fingerprint: u64,
    /// The body as the caller sent it.
    pub body: Value,
}

/// The requested form of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseDelivery {
    /// As a single JSON body.
    Buffered,
    /// As server-sent events.
    Streamed,
    /// As server-sent events, with the token usage in the last chunk.
    StreamedWithUsage,
}

impl ParsedPrompt {
    /// Parses `bytes` as a request of the given API.
    ///
    /// # Errors
    /// 400 with the name of the invalid field and what is expected there.
    pub fn parse(format: PromptFormat, bytes: &[u8]) -> Result<Self, CallerRefusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| invalid_request(format!("the body is not valid JSON: {error}")))?;
        if !body.is_object() {
            return Err(invalid_request("the body must be a JSON object"));
        }
        let name =
            body.get("model").and_then(Value::as_str).filter(|name| !name.is_empty()).ok_or_else(
                || invalid_request("`model` must name a model; GET /v1/models lists them"),
            )?;
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (name.to_owned(), None),
        };
        let chunks = match format {
            PromptFormat::Chat => chat_chunks(&body)?,
            PromptFormat::Text => text_chunks(&body)?,
        };
        let total_bytes: usize = chunks.iter().map(Vec::len).sum();
        Ok(ParsedPrompt {
            format,
            model,
            adapter,
            delivery: delivery(&body)?,
            prompt_tokens: token_count(total_bytes),
            chunks,
            max_output_tokens: output_limit(&body)?,
            fingerprint: xxh3_64(bytes),
            body,
        })
    }

    /// Fingerprints of the chunks that other prompts of the organisation may share.
    pub fn part_fingerprints(&self, organisation: &OrganisationId) -> Vec<u64> {
        suspect::part_fingerprints(organisation, self.chunks.iter().map(Vec::as_slice))
    }

    /// The prefix levels of the prompt, which are separate for each organisation.
    pub fn levels(&self, organisation: &OrganisationId) -> Vec<PrefixLevel> {
        let segments: Vec<PromptSegment<'_>> = self
            .chunks
            .iter()
            .map(|chunk| PromptSegment { bytes: chunk, tokens: token_count(chunk.len()) })
            .collect();
        prefix::levels(organisation, &self.model, self.adapter.as_deref(), &segments)
    }
}

fn invalid_request(message: impl Into<String>) -> CallerRefusal {
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
        Some(_) => Err(invalid_request("`stream` must be true or false")),
    }
}

fn output_limit(body: &Value) -> Result<u32, CallerRefusal> {
    let limit = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    match limit {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|limit| *limit > 0)
            .map(|limit| u32::try_from(limit).unwrap_or(u32::MAX))
            .ok_or_else(|| invalid_request("`max_tokens` must be a whole number above zero")),
    }
}

/// Splits messages into chunks: one per message, several for long messages.
fn chat_chunks(body: &Value) -> Result<Vec<Vec<u8>>, CallerRefusal> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| invalid_request("`messages` must be a list with at least one message"))?;
    if let Some(at) = messages.iter().position(|message| !is_message(message)) {
        let what = "an object with a `role` text and a `content` text or list";
        return Err(invalid_request(format!("`messages[{at}]` must be {what}")));
    }
    Ok(messages.iter().flat_map(|message| split_bytes(message.to_string().as_bytes())).collect())
}

fn is_message(message: &Value) -> bool {
    let has_content = matches!(
        message.get("content"),
        Some(Value::String(_) | Value::Array(_) | Value::Null) | None
    );
    message.get("role").is_some_and(Value::is_string) && has_content
}

fn text_chunks(body: &Value) -> Result<Vec<Vec<u8>>, CallerRefusal> {
    let prompt = body
        .get("prompt")
        .and_then(Value::as_str)
        .filter(|prompt| !prompt.is_empty())
        .ok_or_else(|| invalid_request("`prompt` must be a text that is not empty"))?;
    Ok(split_bytes(prompt.as_bytes()))
}

fn split_bytes(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect()
}
