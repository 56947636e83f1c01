// Forms for the lists of the document.

import { element } from "/console/dom.js";
import { faultElement } from "/console/faults.js";
import { renderField, renderObject } from "/console/fields.js";
import { clearRefreshers, onRefresh, page, resolve } from "/console/page.js";
import { isSame, state } from "/console/state.js";

/** The lists of the document, in the order in which the page shows them. */
const LISTS = ["services", "targets", "models", "adapters", "control"];

const LIST_TITLES = {
  services: "Services",
  targets: "Targets",
  models: "Models",
  adapters: "Adapters",
  control: "Control replicas",
};

const ROW_NAMES = {
  services: "service",
  targets: "target",
  models: "model",
  adapters: "adapter",
  control: "replica",
};

const ARTICLES = { adapters: "an" };

/** Values shown next to the name of a collapsed row. */
const ROW_SUMMARIES = {
  services: (row) => [row.kind, ...(row.models ?? [])],
  targets: (row) => [row.service, row.zone, row.state, row.role],
  models: (row) => (row.versions ?? []).map((version) => `version ${version}`),
  adapters: (row) => [row.model && `for ${row.model}`],
  control: (row) => [row.zone, row.address],
};

const NEW_ROWS = {
  services: () => ({ name: "", kind: "engine", models: [] }),
  targets: () => ({ name: "", service: "", zone: "", address: "", state: "arriving", models: [] }),
  models: () => ({ name: "", versions: [] }),
  adapters: () => ({ name: "", model: "" }),
  control: () => ({ name: "", zone: "", address: "" }),
};

const openRows = new Set();

/** Sets the schema of the forms and the callback for edits. */
export function start(schema, edited) {
  page.schema = schema;
  page.edited = edited;
  page.render = render;
}

/** Rebuilds all forms and keeps the focus. */
export function render() {
  const focused = document.activeElement?.id;
  clearRefreshers();
  const parts = LISTS.map((list) => element("a", { href: `#list-${list}` }, LIST_TITLES[list]));
  parts.push(element("a", { href: "#review" }, "Review"));
  document.getElementById("parts").replaceChildren(...parts);
  const sections = LISTS.map(renderList);
  document.getElementById("forms").replaceChildren(renderName(), ...sections);
  if (focused) {
    document.getElementById(focused)?.focus({ preventScroll: true });
  }
}

/** Expands the row at the path of a fault and focuses its field. */
export function reveal(path) {
  const row = /^(\w+)\[(\d+)\]/.exec(path);
  if (row) {
    openRows.add(state.edited[row[1]]?.[Number(row[2])]);
    render();
    page.edited();
  }
  let node = null;
  for (let rest = path; node === null && rest; rest = rest.replace(/[.[][^.[]*$|^[^.[]*$/, "")) {
    node = document.getElementById(rest);
  }
  const field = node?.matches("input, select, textarea, button, summary")
    ? node
    : node?.querySelector("input, select, textarea, summary");
  (field ?? node)?.focus();
  node?.scrollIntoView({ block: "center" });
}

function rowSchema(list) {
  return resolve(page.schema.properties[list].items);
}

function renderName() {
  const fields = element("div", { class: "fields" });
  fields.append(renderField(page.schema, state.edited, "name", "name", "name"));
  return element("section", {}, element("h2", {}, "Deployment"), fields, faultElement("document"));
}

function renderList(list) {
  const rows = state.edited[list] ?? [];
  const title = `${LIST_TITLES[list]} (${rows.length})`;
  const add = () => {
    const row = NEW_ROWS[list]();
    state.edited[list] = [...rows, row];
    openRows.add(row);
    render();
    page.edited();
    document.getElementById(`${list}[${rows.length}].name`)?.focus();
  };
  return element(
    "section",
    { id: `list-${list}` },
    element("h2", {}, title),
    faultElement(list),
    ...rows.map((row, index) => renderRow(list, row, index)),
    element(
      "div",
      { class: "list-actions" },
      element("button", { type: "button", class: "quiet", id: `add-${list}`, onclick: add },
        `Add ${ARTICLES[list] ?? "a"} ${ROW_NAMES[list]}`),
    ),
  );
}

function renderRow(list, row, index) {
  const path = `${list}[${index}]`;
  const name = element("strong");
  const facts = element("span", { class: "facts" });
  const badge = element("span", { class: "badge changed" });
  const update = () => {
    const before = (state.baseDocument[list] ?? []).find((other) => other.name === row.name);
    name.textContent = row.name || `new ${ROW_NAMES[list]}`;
    facts.textContent = ROW_SUMMARIES[list](row).filter(Boolean).join(" · ");
    badge.textContent = before ? "changed" : "new";
    badge.hidden = before !== undefined && isSame(before, row);
  };
  update();
  onRefresh(update);
  const faults = element("span", { class: "badge bad", "data-row-faults": path, hidden: true });
  const summary = element("summary", { id: path }, name, facts, badge, faults);
  const body = element("div", { class: "body" });
  const fill = () => body.childElementCount || body.append(...renderRowBody(list, row, index, path));
  const details = element("details", { class: "row", open: openRows.has(row) }, summary, body);
  details.addEventListener("toggle", () => {
    if (details.open) {
      openRows.add(row);
      fill();
      page.edited();
    } else {
      openRows.delete(row);
    }
  });
  if (details.open) {
    fill();
  }
  return details;
}

function renderRowBody(list, row, index, path) {
  const remove = () => {
    state.edited[list] = state.edited[list].filter((_, other) => other !== index);
    render();
    page.edited();
    document.getElementById(`add-${list}`)?.focus();
  };
  const actions = element("div", { class: "actions" });
  if (list === "targets") {
    actions.append(renderDrain(row, path));
  }
  actions.append(element("button", { type: "button", class: "remove", onclick: remove }, "Remove"));
  return [renderObject(rowSchema(list), row, path, list), faultElement(path), actions];
}

/** Renders the button that sets a target's state to leaving. */
function renderDrain(row, path) {
  const drain = () => {
    row.state = "leaving";
    render();
    page.edited();
    document.getElementById(`${path}.state`)?.focus();
  };
  const button = element("button", { type: "button", class: "quiet", onclick: drain }, "Drain");
  const update = () => {
    button.hidden = row.state === "leaving";
  };
  update();
  onRefresh(update);
  return button;
}
