//! Text generation requests, answered as a whole or as an event stream.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use laburnumlug::{Verdict, pieces_for_tokens};
use laburnumlug_caller::{
    AnswerFormat, AnswerWriter, ApiError, CallHeaders, VERDICT_HEADER, parse_generation,
};
use laburnumlug_http::{BodySender, Response, channel_body, json_response};
use laburnumlug_policy::PrefixHashes;

use super::Entry;
use super::dispatch::RequestContext;
use super::ranking::CompletionShape;
use super::relay::{Relay, RelayEvent};

/// Time after which the stream of a caller that reads nothing, with a full send buffer, is ended with an error.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for sending the error event that ends the stream of a stalled caller.
const STALL_ERROR_TIMEOUT: Duration = Duration::from_secs(60);

/// Parses a text generation request and responds with an event stream or the whole answer, as it requests.
pub(super) async fn handle_generation(
    entry: Rc<Entry>,
    arrived_at: Instant,
    request_id: &str,
    headers: CallHeaders,
    format: AnswerFormat,
    body: &[u8],
) -> Result<Response, ApiError> {
    let generation = parse_generation(format, body)?;
    let Some(fleet) = entry.fleet.current(Instant::now()) else {
        return Err(entry.unconfirmed_configuration_error());
    };
    let Some(service) = fleet.service_for_model(&generation.model) else {
        return Err(ApiError::unknown_model(&generation.model));
    };
    let policy = service.policy.clone().unwrap_or_default();
    let default_deadline = Duration::from_millis(policy.default_deadline_ms.get());
    let prompt_tokens = generation.estimated_prompt_tokens();
    let context = RequestContext {
        request_id: request_id.to_string(),
        caller: headers.caller,
        key: None,
        service: service.name.clone(),
        deadline: arrived_at + headers.deadline.unwrap_or(default_deadline),
        pieces: pieces_for_tokens(prompt_tokens + generation.max_tokens),
        shape: Some(Rc::new(CompletionShape {
            prompt: PrefixHashes::of(&generation.prompt),
            prompt_tokens,
            max_tokens: generation.max_tokens,
        })),
    };
    let created = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    let writer = AnswerWriter::new(format, request_id, &generation.model, created);
    let stream = generation.stream;
    let relay = Relay::new(entry, context, generation);
    match stream {
        true => respond_streaming(relay, writer).await,
        false => respond_buffered(relay, writer).await,
    }
}

/// Responds once the whole answer has been generated.
async fn respond_buffered(mut relay: Relay, writer: AnswerWriter) -> Result<Response, ApiError> {
    let mut text = String::new();
    loop {
        match relay.next().await? {
            RelayEvent::Chunk(chunk) => text.push_str(&chunk),
            RelayEvent::End {
                reason,
                prompt_tokens,
                tokens,
            } => {
                let answer = writer.full_answer(&text, &reason, prompt_tokens, tokens);
                return Ok(with_ran_verdict(json_response(200, &answer)));
            }
        }
    }
}

/// Responds with an event stream, after the first event, so that a refusal still gets its own HTTP status.
async fn respond_streaming(mut relay: Relay, writer: AnswerWriter) -> Result<Response, ApiError> {
    let first = relay.next().await?;
    let (tx, body) = channel_body();
    compio::runtime::spawn(relay_stream(relay, writer, first, tx)).detach();
    let mut resp = hyper::Response::new(body);
    let event_stream = hyper::header::HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert("content-type", event_stream);
    Ok(with_ran_verdict(resp))
}

/// Relays an answer to the caller as events until it ends, fails or the caller disconnects or stops reading.
async fn relay_stream(
    mut relay: Relay,
    writer: AnswerWriter,
    first: RelayEvent,
    mut tx: BodySender,
) {
    let mut next = Ok(first);
    loop {
        let (chunk, is_last) = match next {
            Ok(RelayEvent::Chunk(text)) => (writer.chunk_event(&text), false),
            Ok(RelayEvent::End {
                reason,
                prompt_tokens,
                tokens,
            }) => (writer.final_events(&reason, prompt_tokens, tokens), true),
            Err(err) => (writer.error_event(&err), true),
        };
        // If the caller has disconnected, returning drops the relay's connection, which cancels the answer.
        match laburnumlug_http::timeout(STALL_TIMEOUT, tx.send(chunk)).await {
            Ok(Ok(())) if !is_last => {}
            Ok(_) => return,
            Err(_) => {
                relay.record_stall();
                drop(relay);
                return end_stalled_stream(writer, tx).await;
            }
        }
        let closed = std::pin::pin!(tx.closed());
        let next_event = std::pin::pin!(relay.next());
        next = match futures_util::future::select(closed, next_event).await {
            futures_util::future::Either::Left(_) => return,
            futures_util::future::Either::Right((event, _)) => event,
        };
    }
}

/// Sends the error event to a caller that read too slowly, after its attempt has been cancelled at the engine.
async fn end_stalled_stream(writer: AnswerWriter, mut tx: BodySender) {
    let err = ApiError::broken_off("the caller read too slowly");
    let sending = tx.send(writer.error_event(&err));
    let _ = laburnumlug_http::timeout(STALL_ERROR_TIMEOUT, sending).await;
}

fn with_ran_verdict(mut resp: Response) -> Response {
    let ran = hyper::header::HeaderValue::from_static(Verdict::Ran.as_str());
    resp.headers_mut().insert(VERDICT_HEADER, ran);
    resp
}
