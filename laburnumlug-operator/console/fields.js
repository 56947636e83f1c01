// Form fields generated from the JSON schema of the document.

import { element } from "/console/dom.js";
import { faultElement } from "/console/faults.js";
import { onRefresh, page, refresh, resolve } from "/console/page.js";
import { isSame, state } from "/console/state.js";

/** Fields that refer to rows of another list, with the names to choose from. */
const REFERENCES = {
  "services.models": () => names("models"),
  "targets.service": () => names("services"),
  "targets.adapters": () => names("adapters"),
  "targets.models.model": () => names("models"),
  "targets.models.version": (row) => versions(row.model),
  "adapters.model": () => names("models"),
};

function names(list) {
  return (state.edited[list] ?? []).map((row) => row.name);
}

function versions(model) {
  return state.edited.models.find((row) => row.name === model)?.versions ?? [];
}

/** Renders the fields of an object: the name first, then required fields, then optional ones. */
export function renderObject(node, value, path, kind) {
  const order = (key) => (key === "name" ? 0 : (node.required ?? []).includes(key) ? 1 : 2);
  const keys = Object.keys(node.properties).sort((a, b) => order(a) - order(b));
  const fields = keys.map((key) => renderField(node, value, key, `${path}.${key}`, `${kind}.${key}`));
  return element("div", { class: "fields" }, ...fields);
}

function title(key) {
  const text = key.replaceAll("_", " ");
  return text[0].toUpperCase() + text.slice(1);
}

/** Renders the field of one member according to its type. */
export function renderField(parent, owner, key, path, kind) {
  const node = resolve(parent.properties[key]);
  const hint = parent.properties[key].description ?? node.description;
  if (node.type === "object") {
    return renderFieldset(title(key), hint, path, () => {
      owner[key] ??= {};
      return renderObject(node, owner[key], path, kind);
    });
  }
  if (node.type === "array") {
    return renderArray(node, owner, key, path, kind, hint);
  }
  const required = (parent.required ?? []).includes(key);
  return renderScalar({ node, owner, key, path, kind, hint, required });
}

function renderFieldset(text, hint, path, content) {
  return element(
    "fieldset",
    { id: path },
    element("legend", {}, text),
    hint ? element("span", { class: "hint" }, hint) : null,
    content(),
    faultElement(path),
  );
}

function renderScalar({ node, owner, key, path, kind, hint, required }) {
  const choices = node.enum ? () => node.enum : REFERENCES[kind];
  const attributes = { id: path, "aria-describedby": `hint:${path} fault:${path}` };
  const input = choices
    ? renderSelect(attributes, () => choices(owner), () => owner[key], required)
    : renderInput(attributes, node, owner[key]);
  input.addEventListener(input.matches("select, [type=checkbox]") ? "change" : "input", () => {
    setScalar(node, owner, key, input, required);
    refresh();
    page.edited();
  });
  const fallback = node.default === undefined || node.type === "boolean" ? "" : ` Default ${node.default}.`;
  const text = `${hint ?? ""}${fallback}`.trim();
  return element(
    "div",
    { class: "field" },
    element("label", { for: path }, title(key)),
    input,
    text ? element("span", { class: "hint", id: `hint:${path}` }, text) : null,
    faultElement(path),
  );
}

function renderInput(attributes, node, value) {
  if (node.type === "boolean") {
    return element("input", { ...attributes, type: "checkbox", checked: value ?? node.default ?? false });
  }
  const isNumber = node.type === "integer" || node.type === "number";
  const input = element("input", {
    ...attributes,
    type: "text",
    inputmode: isNumber ? "decimal" : undefined,
    placeholder: node.default,
    autocomplete: "off",
    spellcheck: "false",
  });
  input.value = value ?? "";
  return input;
}

function renderSelect(attributes, choices, value, required) {
  const select = element("select", attributes);
  const fill = () => {
    const current = value();
    const isKnown = choices().includes(current);
    const options = choices().map((choice) => element("option", { value: choice }, choice));
    if (current && !isKnown) {
      options.unshift(element("option", { value: current }, `${current} (unknown)`));
    }
    if (!required || !current) {
      options.unshift(element("option", { value: "" }, required ? "choose" : "none"));
    }
    select.replaceChildren(...options);
    select.value = current ?? "";
  };
  fill();
  onRefresh(fill);
  return select;
}

function setScalar(node, owner, key, input, required) {
  const isNumber = node.type === "integer" || node.type === "number";
  const text = input.value.trim();
  if (node.type === "boolean") {
    owner[key] = input.checked;
  } else if (text === "" && !required) {
    delete owner[key];
  } else if (isNumber && text !== "" && Number.isFinite(Number(text))) {
    owner[key] = Number(text);
  } else {
    owner[key] = text;
  }
}

function renderArray(node, owner, key, path, kind, hint) {
  const items = resolve(node.items);
  if (items.type === "object") {
    return renderFieldset(title(key), hint, path, () => renderSubrows(items, owner, key, path, kind));
  }
  if (REFERENCES[kind]) {
    return renderFieldset(title(key), hint, path, () => renderChoices(owner, key, path, REFERENCES[kind]));
  }
  return renderLines(owner, key, path, hint);
}

/** Renders a check box for each row that may be chosen, and for each unknown name already in the list. */
function renderChoices(owner, key, path, choices) {
  const group = element("div", { class: "choices" });
  let shown = null;
  const fill = () => {
    const known = choices();
    const all = [...new Set([...known, ...(owner[key] ?? [])])];
    if (shown !== null && isSame([known, all], shown)) {
      return;
    }
    shown = [known, all];
    const boxes = all.map((name, index) =>
      renderChoice(owner, key, name, `${path}:${index}`, known.includes(name)));
    const none = element("span", { class: "hint" }, "There is nothing to choose yet.");
    group.replaceChildren(...(boxes.length ? boxes : [none]));
  };
  fill();
  onRefresh(fill);
  return group;
}

function renderChoice(owner, key, name, id, isKnown) {
  const box = element("input", { type: "checkbox", id, checked: (owner[key] ?? []).includes(name) });
  box.addEventListener("change", () => {
    const others = (owner[key] ?? []).filter((other) => other !== name);
    owner[key] = box.checked ? [...others, name] : others;
    refresh();
    page.edited();
  });
  return element("label", { class: "choice" }, box, isKnown ? name : `${name} (unknown)`);
}

/** Renders the rows of a nested list. */
function renderSubrows(items, owner, key, path, kind) {
  const rows = owner[key] ?? [];
  const change = (next) => {
    owner[key] = next;
    page.render();
    page.edited();
  };
  const subrows = rows.map((row, index) => {
    const rowPath = `${path}[${index}]`;
    const fields = Object.keys(items.properties).map((name) =>
      renderField(items, row, name, `${rowPath}.${name}`, `${kind}.${name}`));
    const remove = element("button", {
      type: "button",
      class: "remove",
      "aria-label": `Remove ${row.model ?? "this row"}`,
      onclick: () => change(rows.filter((_, other) => other !== index)),
    }, "Remove");
    const fault = element("div", { class: "row-fault" }, faultElement(rowPath));
    return element("div", { class: "subrow" }, ...fields, remove, fault);
  });
  const add = element("button", {
    type: "button",
    class: "quiet",
    id: `add:${path}`,
    onclick: () => {
      change([...rows, Object.fromEntries(items.required.map((name) => [name, ""]))]);
      document.getElementById(`${path}[${rows.length}].${items.required[0]}`)?.focus();
    },
  }, `Add to ${title(key).toLowerCase()}`);
  return element("div", {}, ...subrows, add);
}

/** Renders a list of strings as a text area with one string per line. */
function renderLines(owner, key, path, hint) {
  const area = element("textarea", { id: path, rows: 3, spellcheck: "false", "aria-describedby": `fault:${path}` });
  area.value = (owner[key] ?? []).join("\n");
  area.addEventListener("input", () => {
    owner[key] = area.value.split("\n").map((line) => line.trim()).filter(Boolean);
    refresh();
    page.edited();
  });
  return element(
    "div",
    { class: "field" },
    element("label", { for: path }, title(key)),
    area,
    element("span", { class: "hint" }, `${hint ?? ""} One a line.`.trim()),
    faultElement(path),
  );
}
