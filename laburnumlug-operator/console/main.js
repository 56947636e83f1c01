// Sign-in, review and submission.

import * as api from "/console/api.js";
import { element } from "/console/dom.js";
import { showFaults } from "/console/faults.js";
import * as forms from "/console/forms.js";
import {
  documentText, clearDraft, isSame, load, rebase, restore, save, state, submissionKey,
} from "/console/state.js";

const CHECK_DELAY_MS = 300;
const POLL_MS = 5000;

const byId = (id) => document.getElementById(id);

/** Result of the latest check. */
let checked = null;
/** Sequence number of the latest check; responses to earlier checks are ignored. */
let latestCheck = 0;
let checkTimer = null;
let isSubmitting = false;
/** Newest version by another operator that has been announced on the page. */
let announced = 0;

function isEdited() {
  return !isSame(JSON.parse(documentText()), state.baseDocument);
}

function showMessage(kind, ...children) {
  byId("message").replaceChildren(element("div", { class: `message ${kind}` }, ...children));
}

function clearMessage() {
  byId("message").replaceChildren();
}

function differenceItem({ path, before, after }) {
  const kind = before === null ? "added" : after === null ? "removed" : "changed";
  const text = kind === "changed" ? `${path}: ${before} → ${after}` : `${path}: ${after ?? before}`;
  const verb = { added: "Added ", removed: "Removed ", changed: "Changed " }[kind];
  return element("li", { class: kind }, verb, text);
}

function edited() {
  if (byId("message").querySelector(".good")) {
    clearMessage();
  }
  save();
  showState();
  clearTimeout(checkTimer);
  checkTimer = setTimeout(check, CHECK_DELAY_MS);
}

async function check() {
  latestCheck += 1;
  const number = latestCheck;
  const text = documentText();
  try {
    const result = await api.checkFleet(text);
    if (number !== latestCheck) {
      return;
    }
    checked = { ...result, text };
    showFaults(result.faults);
    showState();
  } catch (err) {
    showError(err);
  }
}

/** Shows the result of the latest check and whether the document may be submitted. */
function showState() {
  const text = documentText();
  byId("document").textContent = text;
  byId("fleet-name").textContent = state.edited.name;
  const isChecked = checked?.text === text;
  const faults = checked?.faults ?? [];
  const differences = checked?.differences ?? [];
  byId("version").textContent = state.base === 0
    ? "No version is in force yet."
    : `Edits are based on version ${state.base}.`;
  const faultItem = (fault) => element(
    "li", {},
    element("button", { type: "button", onclick: () => forms.reveal(fault.path) }, fault.path),
    `: found ${fault.found}; allowed: ${fault.allowed}`,
  );
  byId("faults").replaceChildren(...(faults.length ? faults.map(faultItem) : [element("li", {}, "None.")]));
  const items = differences.length ? differences.map(differenceItem) : [element("li", {}, "None.")];
  byId("differences").replaceChildren(...items);
  const count = (list, one, many) => (list.length === 1 ? `1 ${one}` : `${list.length} ${many}`);
  byId("summary").textContent = isChecked
    ? `${count(differences, "change", "changes")}, ${count(faults, "fault", "faults")}`
    : "Checking…";
  const isReady = isChecked && faults.length === 0 && differences.length > 0;
  byId("submit").disabled = !isReady || isSubmitting;
  byId("discard").disabled = !isEdited() || isSubmitting;
}

async function submit() {
  const text = documentText();
  isSubmitting = true;
  showState();
  try {
    const { version } = await api.submitFleet(state.base, submissionKey(text), text);
    await reload();
    showMessage("good", `Version ${version} is in force.`);
  } catch (err) {
    if (err.status === 412) {
      await showConflict({ ...err.body.error, isRefusal: true });
    } else if (err.status === 422) {
      state.pending = null;
      showMessage("bad", "The document has faults; your edits are kept.");
      await check();
    } else {
      showError(err);
    }
  } finally {
    isSubmitting = false;
    showState();
  }
}

/** Shows whose change was accepted first; the edits are kept. */
async function showConflict({ version, changed_by: winner, isRefusal }) {
  announced = version;
  const changes = await api.changesSince(state.base).catch(() => []);
  const lists = changes.flatMap((record) => [
    element("p", {}, `Version ${record.version} by ${record.operator}:`),
    element("ul", { class: "differences" }, ...record.differences.map(differenceItem)),
  ]);
  const merge = async () => {
    try {
      const merged = await api.mergeFleet(state.baseDocument, state.edited);
      rebase(merged);
      forms.render();
      edited();
      showMerge(merged);
      byId("review").focus();
    } catch (err) {
      showError(err);
    }
  };
  showMessage(
    "bad",
    element("p", {}, element("strong", {}, `${winner}'s change won: version ${version} is in force. `),
      isRefusal ? "Yours was not made. " : "",
      `Your edits are based on version ${state.base}. They are kept.`),
    ...lists,
    element("p", {}, "Where both changed the same value, yours will stand; the review shows it before you submit."),
    element("button", { type: "button", onclick: merge }, `Base my edits on version ${version}`),
  );
  byId("message").scrollIntoView({ block: "start" });
}

/** Shows which changes by others the merge has overruled. */
function showMerge({ version, overruled }) {
  if (overruled.length === 0) {
    clearMessage();
    return;
  }
  showMessage(
    "warn",
    element("p", {}, `Your edits are based on version ${version} now. Both changed these; yours stand:`),
    element("ul", {}, ...overruled.map((path) => element("li", {}, path))),
  );
}

function showError(err) {
  if (err.status === 401) {
    api.setToken(null);
    showSignIn("The token isn't valid.");
    return;
  }
  const lost = err.status === 0 || err.status >= 500;
  const kept = isSubmitting && lost
    ? " Whether the change was made isn't known; Submit asks again and makes it once."
    : " Your edits are kept.";
  showMessage("bad", `${err.message}.${kept}`);
}

function showSignIn(message) {
  byId("sign-in").hidden = false;
  byId("editor").hidden = true;
  byId("bar").hidden = true;
  byId("sign-out").hidden = true;
  byId("sign-in-message").textContent = message;
  byId("version").textContent = "";
  byId("token").focus();
}

async function reload() {
  load(await api.fetchFleet());
  checked = null;
  forms.render();
  await check();
}

/** Polls for changes by other operators that have come into force. */
async function poll() {
  if (byId("editor").hidden || isSubmitting || document.hidden) {
    return;
  }
  try {
    const fleet = await api.fetchFleet();
    if (fleet.version === state.base || fleet.version === announced || isSubmitting) {
      return;
    }
    if (isEdited()) {
      const [newest] = (await api.changesSince(state.base)).slice(-1);
      const winner = newest?.operator ?? "another operator";
      await showConflict({ version: fleet.version, changed_by: winner, isRefusal: false });
    } else {
      load(fleet);
      forms.render();
      edited();
    }
  } catch (err) {
    showError(err);
  }
}

async function open() {
  try {
    forms.start(await api.fetchSchema(), edited);
    if (!restore()) {
      load(await api.fetchFleet());
    }
    byId("sign-in").hidden = true;
    byId("editor").hidden = false;
    byId("bar").hidden = false;
    byId("sign-out").hidden = false;
    clearMessage();
    forms.render();
    await check();
  } catch (err) {
    if (err.status === 401) {
      showError(err);
    } else {
      showSignIn(err.message);
    }
  }
}

byId("sign-in").addEventListener("submit", (event) => {
  event.preventDefault();
  api.setToken(byId("token").value.trim());
  byId("token").value = "";
  byId("sign-in-message").textContent = "";
  open();
});
byId("sign-out").addEventListener("click", () => {
  api.setToken(null);
  clearDraft();
  location.reload();
});
byId("submit").addEventListener("click", submit);
byId("discard").addEventListener("click", () => reload().catch(showError));
setInterval(poll, POLL_MS);

if (api.token()) {
  open();
} else {
  showSignIn("");
}
