// Drives daemons with the stock OpenAI client. Environment: ENTRIES (callers'
// addresses, with commas), OPERATORS (operators' address of the first), MODEL,
// KEY, LIMITED_KEY.

import assert from "node:assert/strict";
import test from "node:test";
import OpenAI from "openai";

const MODEL = process.env.MODEL;
const MESSAGES = [{ role: "user", content: "summarise the inquiry thread" }];
const MAX_POLLS = 100;
const POLL_PAUSE_MS = 100;

const ENTRIES = process.env.ENTRIES.split(",");

function client(apiKey = process.env.KEY, entry = ENTRIES[0]) {
  const baseURL = `http://${entry}/v1`;
  return new OpenAI({ apiKey, baseURL, maxRetries: 0 });
}

async function status() {
  const answer = await fetch(`http://${process.env.OPERATORS}/rpc`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: '{"jsonrpc":"2.0","id":1,"method":"status","params":{}}',
  });
  return (await answer.json()).result;
}

/** Repeats until the daemon's status satisfies the condition. */
async function statusWhere(condition) {
  let last;
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    last = await status();
    if (condition(last)) {
      return last;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_PAUSE_MS));
  }
  assert.fail(`the status never came: ${JSON.stringify(last)}`);
}

async function streamedText(stream) {
  let text = "";
  let finish = null;
  let usage = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta?.content ?? "";
    finish = chunk.choices[0]?.finish_reason ?? finish;
    usage = chunk.usage ?? usage;
  }
  return { text, finish, usage };
}

/** Returns the error that the call is refused with. */
async function errorOf(call) {
  try {
    await call;
  } catch (error) {
    return error;
  }
  return assert.fail("the call was not refused");
}

test("lists the models", async () => {
  const names = [];
  for await (const model of client().models.list()) {
    names.push(model.id);
  }
  assert.deepEqual(names, [MODEL]);
});

test("a whole answer and a streamed one are the same", async () => {
  const request = { model: MODEL, messages: MESSAGES, max_tokens: 8 };
  const whole = await client().chat.completions.create(request);
  assert.equal(whole.object, "chat.completion");
  assert.equal(whole.choices[0].message.role, "assistant");
  assert.equal(whole.usage.completion_tokens, 8);
  assert.ok(whole._request_id);
  assert.equal(whole._request_id, whole.id);
  const streamed = await streamedText(
    await client().chat.completions.create({
      ...request,
      stream: true,
      stream_options: { include_usage: true },
    }),
  );
  assert.equal(streamed.text, whole.choices[0].message.content);
  assert.equal(streamed.finish, whole.choices[0].finish_reason);
  assert.deepEqual(streamed.usage, whole.usage);
});

test("the stream helper puts the same answer together", async () => {
  const request = { model: MODEL, messages: MESSAGES, max_tokens: 8 };
  const whole = await client().chat.completions.create(request);
  const runner = client().chat.completions.stream(request);
  const final = await runner.finalChatCompletion();
  assert.equal(
    final.choices[0].message.content,
    whole.choices[0].message.content,
  );
});

test("text completions", async () => {
  const request = { model: MODEL, prompt: "a budget note", max_tokens: 5 };
  const whole = await client().completions.create(request);
  assert.equal(whole.object, "text_completion");
  let text = "";
  const stream = await client().completions.create({
    ...request,
    stream: true,
  });
  for await (const chunk of stream) {
    text += chunk.choices[0]?.text ?? "";
  }
  assert.equal(text, whole.choices[0].text);
  assert.notEqual(text, "");
});

test("a stream of several seconds is whole at each VM", async () => {
  const tokens = 160;
  const streams = ENTRIES.map(async (entry) =>
    streamedText(
      await client(process.env.KEY, entry).chat.completions.create({
        model: MODEL,
        messages: MESSAGES,
        max_tokens: tokens,
        stream: true,
        stream_options: { include_usage: true },
      }),
    ),
  );
  for (const answer of await Promise.all(streams)) {
    assert.equal(answer.finish, "length");
    assert.equal(answer.usage.completion_tokens, tokens);
  }
});

test("an abort cancels the request", async () => {
  const before = (await status()).requests_ended.cancelled;
  const stream = await client().chat.completions.create({
    model: MODEL,
    messages: MESSAGES,
    max_tokens: 4000,
    stream: true,
  });
  let chunks = 0;
  for await (const chunk of stream) {
    assert.ok(chunk.id);
    chunks += 1;
    if (chunks === 3) {
      stream.controller.abort();
    }
  }
  const after = await statusWhere(
    (now) =>
      now.requests_ended.cancelled > before &&
      now.requests_live === 0 &&
      now.pending_cancels === 0,
  );
  assert.equal(after.requests_ended.cancelled, before + 1);
});

test("an unknown model is NotFoundError, as not run", async () => {
  const error = await errorOf(
    client().chat.completions.create({ model: "none", messages: MESSAGES }),
  );
  assert.ok(error instanceof OpenAI.NotFoundError);
  assert.equal(error.code, "not_found");
  assert.equal(error.error.run, "no");
  assert.ok(error.error.remedy);
});

test("a malformed request is BadRequestError", async () => {
  const error = await errorOf(
    client().chat.completions.create({ model: MODEL, messages: [] }),
  );
  assert.ok(error instanceof OpenAI.BadRequestError);
  assert.equal(error.code, "invalid_request");
  assert.equal(error.type, "invalid_request_error");
  assert.match(error.message, /messages/);
});

test("an unknown key is AuthenticationError", async () => {
  const error = await errorOf(client("wrong").models.list());
  assert.ok(error instanceof OpenAI.AuthenticationError);
  assert.equal(error.code, "unauthenticated");
});

test("a caller over its limit is RateLimitError with a time", async () => {
  const limited = client(process.env.LIMITED_KEY);
  const call = () =>
    limited.chat.completions.create({
      model: MODEL,
      messages: MESSAGES,
      max_tokens: 4,
    });
  let error = null;
  for (let calls = 0; calls < 10 && error === null; calls += 1) {
    error = await call().then(() => null, (refusal) => refusal);
  }
  assert.ok(error instanceof OpenAI.RateLimitError);
  assert.equal(error.error.run, "no");
  assert.ok(error.error.retry_after_ms > 0);
  assert.ok(Number(error.headers.get("retry-after-ms")) > 0);
});
