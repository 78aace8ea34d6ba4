// Entry point of the operators' page: loading, saving, details and budgets.
import * as api from "./api.js";
import { Grid } from "./grid.js";
import { Model, columns, show } from "./model.js";

const changesInterval = 2000;
// parallelSaves limits the saves in flight, so that saving a pasted block of a
// thousand rows doesn't crowd out other writes to the platform.
const parallelSaves = 8;

const byId = (id) => document.getElementById(id);
const model = new Model();
const grid = new Grid(model, { onChange: changed, onSelect: details, onError: (text) => showMessage(text, true) });

function showMessage(text, bad = false) {
  byId("message").textContent = text;
  byId("message").className = bad ? "bad" : "";
}

function changed() {
  const count = model.unsaved().length;
  byId("save").textContent = count > 0 ? `Save ${count} rows` : "Save";
  byId("save").disabled = count === 0;
  byId("discard").disabled = ![...model.entries.values()].some((entry) => entry.draft);
}

async function load() {
  try {
    const answer = await api.changes(model.revision);
    model.hosts = (await api.hosts()).hosts.filter((host) => host.state !== "dead");
    model.merge(answer.teams || [], answer.through);
    if (byId("message").className !== "bad") showMessage(`${model.entries.size} teams, revision ${model.revision}`);
    grid.refresh();
    changed();
  } catch (error) {
    if (error.status === 401) { byId("login").showModal(); return; }
    showMessage(`the host can't be reached or rejected the request: ${error.message}`, true);
  }
  setTimeout(load, changesInterval);
}

async function saveOne(entry) {
  const content = model.content(entry);
  entry.state = "saving";
  try {
    model.saved(entry, content, await api.saveTeam(entry.team, entry.base, content));
    return true;
  } catch (error) {
    const body = error.body || {};
    model.refused(entry, body.code, error.message, body.current);
    return false;
  } finally {
    grid.schedule();
  }
}

async function save() {
  const queue = model.unsaved();
  let saved = 0;
  const total = queue.length;
  await Promise.all(Array.from({ length: parallelSaves }, async () => {
    for (let entry = queue.shift(); entry; entry = queue.shift()) saved += (await saveOne(entry)) ? 1 : 0;
  }));
  showMessage(saved === total ? `${saved} rows saved` : `${saved} of ${total} rows saved; the other rows show the reason`, saved !== total);
  changed();
  grid.refresh();
}

function element(name, text, ...children) {
  const made = document.createElement(name);
  if (text !== null) made.textContent = text;
  made.append(...children);
  return made;
}

function button(text, action) {
  const made = element("button", text);
  made.addEventListener("click", async () => {
    try {
      await action();
    } catch (error) {
      showMessage(error.message, true);
    }
    grid.refresh();
    changed();
  });
  return made;
}

function comparison(entry) {
  const theirs = entry.theirs.row || {};
  const table = element("table", null, element("tr", null, element("th", "field"), element("th", "yours"), element("th", "theirs")));
  for (const column of columns.filter((candidate) => !candidate.fixed)) {
    const mine = model.value(entry, column);
    const other = show(column, theirs[column.name]);
    if (mine !== other) table.append(element("tr", null, element("td", column.name), element("td", mine), element("td", other)));
  }
  return table;
}

function details(entry) {
  const panel = byId("details");
  panel.hidden = !entry;
  if (!entry) return;
  panel.replaceChildren(element("h2", entry.team), element("p", entry.error));
  if (entry.theirs) {
    panel.append(comparison(entry), button("Take theirs", () => model.takeTheirs(entry)),
      button("Keep mine on top of theirs", () => { model.keepMine(entry); details(entry); }));
  }
  if (entry.draft) panel.append(button("Discard changes", () => model.discard(entry)));
  if (entry.version > 0 && !entry.draft) {
    panel.append(button("Undo last save", async () => { await api.undoTeam(entry.team, entry.version); showMessage(`${entry.team}: undone`); }),
      button("Delete team", async () => {
        if (confirm(`Delete team ${entry.team}? Its callers are refused within seconds.`)) await api.deleteTeam(entry.team, entry.version);
      }),
      button("Show history", () => showHistory(entry, panel)));
  }
}

async function showHistory(entry, panel) {
  const { history } = await api.history(entry.team);
  const table = element("table", null, element("tr", null, element("th", "version"), element("th", "replaced by"), element("th", "at")));
  for (const past of history) {
    const row = element("tr", null, element("td", String(past.version)), element("td", past.by + (past.deleted ? " (deleted)" : "")),
      element("td", past.at));
    row.title = past.row ? JSON.stringify(past.row) : "the row did not exist";
    table.append(row);
  }
  panel.append(table);
}

async function showBudgets() {
  const section = byId("budgets");
  const names = ["budget", "prepaid", "left", "spent", "held", "stranded"];
  try {
    const { budgets } = await api.budgets();
    const head = element("tr", null, ...names.map((name) => element("th", name)), element("th", "top up"));
    const table = element("table", null, head);
    for (const budget of budgets) {
      const row = element("tr", null, ...names.map((name) => element("td", String(budget[name]))));
      [...row.children].slice(1).forEach((cell) => { cell.className = "number"; });
      if (budget.stranded > 0) row.className = "stranded";
      row.append(element("td", null, topUpForm(budget)));
      table.append(row);
    }
    section.replaceChildren(table);
  } catch (error) {
    section.replaceChildren(element("p", error.message));
  }
}

function topUpForm(budget) {
  const amount = element("input", null);
  amount.type = "number";
  amount.min = "1";
  // The token changes only when the top-up is confirmed, so that a retry after a
  // lost answer adds nothing.
  let token = crypto.randomUUID();
  const add = button("Add", async () => {
    await api.topUp(budget.budget, Number(amount.value), token);
    token = crypto.randomUUID();
    await showBudgets();
  });
  return element("span", null, amount, add);
}

function view(name) {
  for (const other of ["teams", "budgets"]) {
    byId(other).hidden = other !== name;
    byId(`show-${other}`).className = other === name ? "current" : "";
  }
  if (name === "budgets") showBudgets();
}

byId("show-teams").addEventListener("click", () => view("teams"));
byId("show-budgets").addEventListener("click", () => view("budgets"));
byId("filter").addEventListener("input", (event) => { model.filter = event.target.value; grid.refresh(); });
byId("status-filter").addEventListener("change", (event) => { model.stateFilter = event.target.value; grid.refresh(); });
byId("save").addEventListener("click", save);
byId("discard").addEventListener("click", () => {
  for (const entry of [...model.entries.values()]) if (entry.draft) model.discard(entry);
  showMessage("changes discarded");
  changed();
  grid.refresh();
});
byId("add").addEventListener("click", () => {
  const name = prompt("Name of the new team");
  if (!name) return;
  try {
    model.add(name);
  } catch (error) {
    showMessage(error.message, true);
  }
  changed();
  grid.refresh();
});
byId("login").addEventListener("close", () => { api.setKey(byId("key").value); load(); });
window.addEventListener("beforeunload", (event) => { if (model.unsaved().length > 0) event.preventDefault(); });
load();
