// State and callbacks shared by the modules of the page.

export const page = {
  /** JSON schema of the document. */
  schema: null,
  /** Callback for edits of the document. */
  edited: () => {},
  /** Rebuilds all forms. */
  render: () => {},
};

let refreshers = [];

/** Registers `update` to be called on each refresh until the forms are rebuilt. */
export function onRefresh(update) {
  refreshers.push(update);
}

/** Updates the page from the document without replacing any field. */
export function refresh() {
  for (const update of refreshers) {
    update();
  }
}

export function clearRefreshers() {
  refreshers = [];
}

/** Resolves a `$ref` of the schema. */
export function resolve(node) {
  return node.$ref ? page.schema.definitions[node.$ref.split("/").pop()] : node;
}
