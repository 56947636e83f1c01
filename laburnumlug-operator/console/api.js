// Client of the operator HTTP interface.

const TOKEN_KEY = "laburnumlug-token";
const MAX_SUBMIT_ATTEMPTS = 5;
const SUBMIT_RETRY_MS = 500;

/** Error response, or no response at all (status 0). */
export class ApiError extends Error {
  constructor(status, body) {
    super(body?.error?.message ?? "the server can't be reached");
    this.status = status;
    this.body = body;
  }
}

export function token() {
  return sessionStorage.getItem(TOKEN_KEY);
}

export function setToken(value) {
  if (value === null) {
    sessionStorage.removeItem(TOKEN_KEY);
  } else {
    sessionStorage.setItem(TOKEN_KEY, value);
  }
}

async function call(method, path, { headers = {}, body } = {}) {
  let resp;
  try {
    resp = await fetch(path, {
      method,
      body,
      credentials: "omit",
      headers: { ...headers, authorization: `Bearer ${token()}` },
    });
  } catch {
    throw new ApiError(0, null);
  }
  if (!resp.ok) {
    throw new ApiError(resp.status, await resp.json().catch(() => null));
  }
  return resp;
}

/** Returns the version in force and its document, which is null for version 0. */
export async function fetchFleet() {
  try {
    const resp = await call("GET", "/fleet");
    const version = Number(resp.headers.get("etag").replaceAll('"', ""));
    return { version, document: await resp.json() };
  } catch (err) {
    if (err.status === 404) {
      return { version: 0, document: null };
    }
    throw err;
  }
}

export async function fetchSchema() {
  return (await call("GET", "/console/fleet.json")).json();
}

/** Returns the faults of a document and its differences from the version in force. */
export async function checkFleet(text) {
  return (await call("POST", "/fleet/check", { body: text })).json();
}

/** Returns the version in force merged with edits that are based on an older version. */
export async function mergeFleet(base, edited) {
  return (await call("POST", "/fleet/merge", { body: JSON.stringify({ base, edited }) })).json();
}

/** Returns the changes accepted after version `base`. */
export async function changesSince(base) {
  const lines = await (await call("GET", "/audit?result=accepted")).text();
  const records = lines.split("\n").filter(Boolean).map((line) => JSON.parse(line));
  return records.filter((record) => record.version > base);
}

/**
 * Submits a document. If the outcome is unknown, the request is retried with the same idempotency key, so the
 * change is made only once.
 */
export async function submitFleet(base, key, text) {
  const headers = { "if-match": `"${base}"`, "idempotency-key": key };
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await (await call("PUT", "/fleet", { headers, body: text })).json();
    } catch (err) {
      const isUnknown = err.status === 0 || err.status >= 500;
      if (!isUnknown || attempt === MAX_SUBMIT_ATTEMPTS) {
        throw err;
      }
      await new Promise((done) => setTimeout(done, SUBMIT_RETRY_MS * attempt));
    }
  }
}
