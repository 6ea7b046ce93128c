"""Parse and validate the bodies of completion requests."""

from attrs import frozen

from rosemaryyoke.entry.errors import RequestRejected

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 8_192
MAX_PROMPT_BYTES = 4 * 1024 * 1024
MAX_MESSAGES = 1_000


@frozen
class CompletionBody:
    """A validated completion request.

    ``repeatable`` is set for temperature 0 or a fixed seed.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    repeatable: bool


def read_text_body(value: object) -> CompletionBody:
    """Parse the JSON body of a text completion."""
    fields = _require_object(value)
    prompt = fields.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _malformed_field("prompt", "a text")
    return _read_common(fields, prompt)


def read_chat_body(value: object) -> CompletionBody:
    """Parse the JSON body of a chat completion."""
    fields = _require_object(value)
    messages = fields.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise _malformed_field("messages", f"a list of 1 to {MAX_MESSAGES} messages")
    return _read_common(fields, "".join(_read_message(item) for item in messages))


def _read_message(message: object) -> str:
    if not isinstance(message, dict):
        raise _malformed_field("messages", "objects with role and content")
    role, content = message.get("role"), message.get("content")
    if role not in ("system", "user", "assistant") or not isinstance(content, str):
        raise _malformed_field("messages", "a role and a text as content")
    return f"{role}: {content}\n"


def _read_common(fields: dict, prompt: str) -> CompletionBody:
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise _malformed_field("model", "a model's name")
    max_tokens = fields.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise _malformed_field(
            "max_tokens", f"a whole number from 1 to {MAX_TOKENS_LIMIT}"
        )
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise _malformed_field("stream", "true or false")
    try:
        size = len(prompt.encode())
    except UnicodeEncodeError:
        raise _malformed_field("prompt", "a valid Unicode text") from None
    if size > MAX_PROMPT_BYTES:
        message = f"the prompt is over {MAX_PROMPT_BYTES} bytes"
        raise RequestRejected(413, "prompt_too_long", message)
    repeatable = fields.get("temperature") == 0 or fields.get("seed") is not None
    return CompletionBody(model, prompt, max_tokens, stream, repeatable)


def _require_object(value: object) -> dict:
    if not isinstance(value, dict):
        raise RequestRejected(400, "malformed_body", "the body is not a JSON object")
    return value


def _malformed_field(key: str, expected: str) -> RequestRejected:
    return RequestRejected(400, "malformed_body", f"{key}: {expected} is wanted")
