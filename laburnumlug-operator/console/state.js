// The document being edited, and the version on which the edits are based.

const DRAFT_KEY = "laburnumlug-draft";

export const EMPTY_DOCUMENT = { name: "", models: [], services: [], targets: [] };

export const state = {
  /** Version on which the edits are based. */
  base: 0,
  /** Document of version `base`. */
  baseDocument: structuredClone(EMPTY_DOCUMENT),
  /** Document being edited. */
  edited: structuredClone(EMPTY_DOCUMENT),
  /** Submission whose outcome is not known yet, with its idempotency key. */
  pending: null,
};

/** Discards the edits and loads a version in force. */
export function load({ version, document }) {
  state.base = version;
  state.baseDocument = document ?? structuredClone(EMPTY_DOCUMENT);
  state.edited = structuredClone(state.baseDocument);
  state.pending = null;
  save();
}

/** Rebases the edits on a newer version with which the server has merged them. */
export function rebase({ version, in_force: inForce, document }) {
  state.base = version;
  state.baseDocument = inForce;
  state.edited = document;
  state.pending = null;
  save();
}

/** Saves the edits in session storage, so that they survive a reload of the page. */
export function save() {
  sessionStorage.setItem(DRAFT_KEY, JSON.stringify(state));
}

/** Restores saved edits from session storage; returns whether there were any. */
export function restore() {
  const draft = JSON.parse(sessionStorage.getItem(DRAFT_KEY) ?? "null");
  if (draft === null) {
    return false;
  }
  Object.assign(state, draft);
  return true;
}

export function clearDraft() {
  sessionStorage.removeItem(DRAFT_KEY);
}

/** Returns the document in the form in which it is submitted, without empty objects. */
export function documentText() {
  return JSON.stringify(withoutEmpty(state.edited), null, 2);
}

/** Returns the idempotency key for submitting `text`; a retry with the same text and base gets the same key. */
export function submissionKey(text) {
  if (state.pending?.text !== text || state.pending?.base !== state.base) {
    const bytes = crypto.getRandomValues(new Uint8Array(16));
    const key = Array.from(bytes, (byte) => byte.toString(16).padStart(2, "0")).join("");
    state.pending = { key, text, base: state.base };
    save();
  }
  return state.pending.key;
}

function isObject(value) {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function withoutEmpty(value) {
  if (Array.isArray(value)) {
    return value.map(withoutEmpty);
  }
  if (!isObject(value)) {
    return value;
  }
  const members = Object.entries(value).map(([key, member]) => [key, withoutEmpty(member)]);
  return Object.fromEntries(
    members.filter(([, member]) => !(isObject(member) && Object.keys(member).length === 0)),
  );
}

export function isSame(a, b) {
  return canonical(a) === canonical(b);
}

function canonical(value) {
  return JSON.stringify(value, (_, member) =>
    isObject(member) ? Object.fromEntries(Object.entries(member).sort()) : member,
  );
}
