// The rows of the table, the operator's unsaved edits and their states. This
// module uses neither the DOM nor the network.

// columns lists the columns of the grid. The flags number, list and json say how
// a value is converted to and from the text of a cell; fixed columns can't be
// edited, and those with of are computed.
export const columns = [
  { name: "team", width: 180, fixed: true },
  { name: "weight", width: 70, number: true },
  { name: "budget", width: 150 },
  { name: "max_in_flight", width: 100, number: true },
  { name: "tokens_per_second", width: 130, number: true },
  { name: "queue_length", width: 100, number: true },
  { name: "deadline", width: 80 },
  { name: "models", width: 160, list: true },
  { name: "classes", width: 300, json: true },
  { name: "key_digests", width: 160, list: true },
  { name: "version", width: 70, number: true, fixed: true, of: (entry) => entry.version || "" },
  { name: "state", width: 90, fixed: true, of: (entry) => entry.state },
  { name: "hosts", width: 80, fixed: true, of: (entry, model) => model.inForce(entry) },
];

// show formats a value of a column as the text of a cell.
export function show(column, value) {
  if (value === undefined || value === null) return "";
  if (column.json) return JSON.stringify(value);
  if (column.list) return value.join(", ");
  return String(value);
}

// parse converts the text of a cell to a value. It throws an Error that says
// what is wrong with the text.
export function parse(column, text) {
  const trimmed = text.trim();
  if (column.number) {
    const value = Number(trimmed);
    if (trimmed === "" || !Number.isSafeInteger(value)) throw new Error(`${column.name}: ${text} is not a whole number`);
    return value;
  }
  if (column.list) return trimmed === "" ? [] : trimmed.split(",").map((part) => part.trim()).filter((part) => part);
  if (column.json) {
    try {
      return JSON.parse(trimmed);
    } catch {
      throw new Error(`${column.name}: is not valid JSON`);
    }
  }
  return trimmed;
}

// Model holds all rows. An entry is {team, version, revision, row, draft, base,
// state, error, theirs, pending}. Draft has only the cells that the operator
// changed, starting from version base. Theirs is the row of another operator in
// a conflict. Pending is a change that arrived during a save. State is "",
// "unsaved", "saving", "saved", "conflict" or "error".
export class Model {
  constructor() {
    this.entries = new Map();
    this.visible = [];
    this.hosts = [];
    this.revision = 0;
    this.filter = "";
    this.stateFilter = "";
    this.sort = { column: columns[0], descending: false };
  }

  // merge applies changes of the platform's table. A row with unsaved edits of an
  // older version goes into conflict and keeps its edits and its version.
  merge(changed, through) {
    for (const change of changed) {
      const entry = this.entries.get(change.team);
      if (entry && entry.version >= change.version) continue;
      if (entry && entry.draft && entry.state !== "saving") {
        entry.theirs = change;
        entry.state = "conflict";
        entry.error = change.deleted ? "another operator deleted this row" : `another operator saved version ${change.version}`;
      } else if (entry && entry.state === "saving") {
        entry.pending = change;
      } else if (change.deleted) {
        this.entries.delete(change.team);
      } else {
        this.accept(change);
      }
    }
    this.revision = Math.max(this.revision, through);
  }

  // accept replaces a row with a version from the platform's table.
  accept(change) {
    this.entries.set(change.team, {
      team: change.team, version: change.version, revision: change.revision, row: change.row || {},
      draft: null, base: change.version, state: change.invalid ? "error" : "", error: change.invalid || "", theirs: null,
    });
  }

  add(team) {
    if (this.entries.has(team)) throw new Error(`team ${team} is in the table already`);
    this.entries.set(team, { team, version: 0, revision: 0, row: {}, base: 0, state: "unsaved", error: "", theirs: null,
      draft: { weight: 1, budget: team, max_in_flight: 10, tokens_per_second: 1000, queue_length: 100, deadline: "30s",
        classes: [{ name: "default", max_tokens: 512 }] } });
  }

  value(entry, column) {
    if (column.of) return column.of(entry, this);
    if (column.name === "team") return entry.team;
    const source = entry.draft && column.name in entry.draft ? entry.draft : entry.row;
    return show(column, source[column.name]);
  }

  // edit changes a cell to the value of a text.
  edit(entry, column, text) {
    if (column.fixed || entry.state === "saving") return;
    const value = parse(column, text);
    const draft = { ...(entry.draft || {}) };
    if (show(column, value) === show(column, entry.row[column.name]) && entry.version > 0) {
      delete draft[column.name];
    } else {
      draft[column.name] = value;
    }
    if (!entry.draft) entry.base = entry.version;
    entry.draft = Object.keys(draft).length > 0 ? draft : null;
    if (entry.state !== "conflict") {
      entry.state = entry.draft ? "unsaved" : "";
      entry.error = "";
    }
  }

  // paste edits a block of cells from tab-separated text and returns the errors.
  paste(rowIndex, columnIndex, text) {
    const errors = [];
    const lines = text.replace(/\r/g, "").replace(/\n$/, "").split("\n");
    lines.forEach((line, down) => {
      const entry = this.visible[rowIndex + down];
      if (!entry) return;
      line.split("\t").forEach((cell, right) => {
        const column = columns[columnIndex + right];
        if (!column) return;
        try {
          this.edit(entry, column, cell);
        } catch (error) {
          errors.push(`${entry.team}: ${error.message}`);
        }
      });
    });
    return errors;
  }

  unsaved() {
    return [...this.entries.values()].filter((entry) => entry.draft && entry.state !== "conflict" && entry.state !== "saving");
  }

  // content returns the row that a save sends.
  content(entry) {
    return { ...entry.row, ...entry.draft, team: entry.team };
  }

  saved(entry, content, answer) {
    const pending = entry.pending;
    Object.assign(entry, { version: answer.version, base: answer.version, revision: answer.revision, row: content,
      draft: null, state: "saved", error: "", theirs: null, pending: null });
    if (pending && pending.version > answer.version) this.merge([pending], 0);
  }

  refused(entry, code, message, current) {
    const pending = entry.pending;
    entry.pending = null;
    entry.error = message;
    entry.state = code === "conflict" ? "conflict" : "error";
    entry.theirs = code === "conflict" ? current || { team: entry.team, deleted: true, version: entry.version } : null;
    if (pending && code !== "conflict") this.merge([pending], 0);
  }

  // takeTheirs resolves a conflict with the row that the other operator saved.
  // The unsaved edits are lost.
  takeTheirs(entry) {
    if (entry.theirs.deleted) {
      this.entries.delete(entry.team);
    } else {
      this.accept({ revision: 0, ...entry.theirs });
    }
  }

  // keepMine resolves a conflict by applying the unsaved edits to the row that
  // the other operator saved. They stay unsaved, so that the operator can review
  // and save them.
  keepMine(entry) {
    const theirs = entry.theirs;
    Object.assign(entry, theirs.deleted ? { version: 0, base: 0, draft: this.content(entry), row: {} }
      : { version: theirs.version, base: theirs.version, row: theirs.row, revision: theirs.revision || entry.revision });
    Object.assign(entry, { state: "unsaved", error: "", theirs: null });
  }

  discard(entry) {
    if (entry.version === 0) {
      this.entries.delete(entry.team);
    } else if (entry.theirs) {
      this.takeTheirs(entry);
    } else {
      Object.assign(entry, { draft: null, state: "", error: "" });
    }
  }

  // inForce returns how many live hosts apply the row's version.
  inForce(entry) {
    if (!entry.revision || this.hosts.length === 0) return "";
    const reached = this.hosts.filter((host) => host.revision >= entry.revision).length;
    return `${reached}/${this.hosts.length}`;
  }

  // arrange filters and sorts the rows that the grid shows.
  arrange() {
    const wanted = this.filter.toLowerCase();
    const { column, descending } = this.sort;
    this.visible = [...this.entries.values()].filter((entry) =>
      (this.stateFilter === "" || entry.state === this.stateFilter) &&
      (wanted === "" || entry.team.toLowerCase().includes(wanted) ||
        this.value(entry, columns[2]).toLowerCase().includes(wanted)));
    const keyed = this.visible.map((entry) => [this.value(entry, column), entry]);
    const collator = new Intl.Collator("en", { numeric: true });
    const compare = column.number ? (a, b) => Number(a) - Number(b) : collator.compare;
    keyed.sort((a, b) => compare(a[0], b[0]) || (a[1].team < b[1].team ? -1 : 1));
    if (descending) keyed.reverse();
    this.visible = keyed.map((pair) => pair[1]);
  }
}
