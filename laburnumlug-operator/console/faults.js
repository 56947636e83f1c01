// Display of faults next to the fields that they concern.

import { element } from "/console/dom.js";

/** Creates the element that shows the faults at `path`. */
export function faultElement(path) {
  return element("p", { class: "fault", "data-fault-for": path, id: `fault:${path}` });
}

/** Shows each fault next to its field, or at the nearest enclosing part that has an element for faults. */
export function showFaults(faults) {
  for (const node of document.querySelectorAll("[data-fault-for]")) {
    node.textContent = "";
  }
  for (const node of document.querySelectorAll(".bad-value")) {
    node.classList.remove("bad-value");
    node.removeAttribute("aria-invalid");
  }
  const perRow = new Map();
  for (const fault of faults) {
    const row = /^\w+\[\d+\]/.exec(fault.path)?.[0];
    perRow.set(row, (perRow.get(row) ?? 0) + 1);
    showFault(fault);
  }
  for (const badge of document.querySelectorAll("[data-row-faults]")) {
    const count = perRow.get(badge.dataset.rowFaults) ?? 0;
    badge.hidden = count === 0;
    badge.textContent = count === 1 ? "1 fault" : `${count} faults`;
  }
}

function showFault(fault) {
  const nodes = [...document.querySelectorAll("[data-fault-for]")];
  const covers = (node) => {
    const path = node.dataset.faultFor;
    return fault.path === path || fault.path.startsWith(`${path}.`) || fault.path.startsWith(`${path}[`);
  };
  const nearest = nodes
    .filter(covers)
    .sort((a, b) => b.dataset.faultFor.length - a.dataset.faultFor.length)[0];
  if (!nearest) {
    return;
  }
  const text = `Found ${fault.found}; allowed: ${fault.allowed}.`;
  nearest.textContent = nearest.textContent ? `${nearest.textContent} ${text}` : text;
  const field = document.getElementById(nearest.dataset.faultFor);
  field?.classList.add("bad-value");
  field?.setAttribute("aria-invalid", "true");
}
