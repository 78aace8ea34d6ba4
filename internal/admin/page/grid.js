// The grid of the teams' rows. Only the rows in the viewport are in the DOM, so
// that a table of 12,000 rows scrolls smoothly.
import { columns } from "./model.js";

const rowHeight = 24;
const overscan = 8;

export class Grid {
  constructor(model, { onChange, onSelect, onError }) {
    this.model = model;
    Object.assign(this, { onChange, onSelect, onError });
    this.active = { row: 0, column: 1 };
    this.viewport = document.getElementById("viewport");
    this.spacer = document.getElementById("spacer");
    this.rows = document.getElementById("rows");
    this.section = document.getElementById("teams");
    this.drawColumns();
    this.viewport.addEventListener("scroll", () => this.schedule());
    new ResizeObserver(() => this.schedule()).observe(this.viewport);
    this.rows.addEventListener("mousedown", (event) => this.click(event));
    this.rows.addEventListener("dblclick", () => this.startEdit());
    this.section.addEventListener("keydown", (event) => this.press(event));
    this.section.addEventListener("paste", (event) => this.paste(event));
    this.section.addEventListener("copy", (event) => this.copy(event));
  }

  drawColumns() {
    const head = document.getElementById("columns");
    head.replaceChildren(...columns.map((column) => {
      const cell = document.createElement("div");
      cell.className = "column";
      cell.style.width = `${column.width}px`;
      cell.addEventListener("click", () => this.sortBy(column));
      return cell;
    }));
    this.viewport.addEventListener("scroll", () => { head.style.marginLeft = `${-this.viewport.scrollLeft}px`; });
    this.labelColumns();
  }

  labelColumns() {
    const { column: sorted, descending } = this.model.sort;
    [...document.getElementById("columns").children].forEach((cell, i) => {
      const mark = columns[i] === sorted ? (descending ? " ▾" : " ▴") : "";
      cell.textContent = columns[i].name + mark;
    });
  }

  sortBy(column) {
    const sort = this.model.sort;
    this.model.sort = { column, descending: sort.column === column && !sort.descending };
    this.labelColumns();
    this.refresh();
  }

  // refresh filters and sorts the rows and redraws the grid.
  refresh() {
    const kept = this.model.visible[this.active.row];
    this.model.arrange();
    const at = this.model.visible.indexOf(kept);
    if (at >= 0) this.active.row = at;
    this.schedule();
  }

  schedule() {
    if (this.scheduled) return;
    this.scheduled = true;
    requestAnimationFrame(() => {
      this.scheduled = false;
      this.draw();
    });
  }

  draw() {
    if (this.editor) return;
    const total = this.model.visible.length;
    this.spacer.style.height = `${total * rowHeight}px`;
    const first = Math.max(0, Math.floor(this.viewport.scrollTop / rowHeight) - overscan);
    const last = Math.min(total, Math.ceil((this.viewport.scrollTop + this.viewport.clientHeight) / rowHeight) + overscan);
    this.rows.style.transform = `translateY(${first * rowHeight}px)`;
    const drawn = [];
    for (let i = first; i < last; i++) drawn.push(this.drawRow(i));
    this.rows.replaceChildren(...drawn);
  }

  drawRow(index) {
    const entry = this.model.visible[index];
    const row = document.createElement("div");
    row.className = `row ${entry.state}`;
    row.title = entry.error;
    row.dataset.index = index;
    columns.forEach((column, i) => {
      const cell = document.createElement("div");
      const changed = entry.draft && column.name in entry.draft;
      cell.className = `cell${column.number ? " number" : ""}${column.fixed ? " fixed" : ""}${changed ? " changed" : ""}` +
        (index === this.active.row && i === this.active.column ? " active" : "");
      cell.style.width = `${column.width}px`;
      cell.dataset.column = i;
      cell.textContent = this.model.value(entry, column);
      row.append(cell);
    });
    return row;
  }

  click(event) {
    const cell = event.target.closest(".cell");
    if (!cell || event.target.tagName === "INPUT") return;
    this.endEdit(true);
    this.move(Number(cell.parentElement.dataset.index), Number(cell.dataset.column));
    this.section.focus();
    event.preventDefault();
  }

  move(row, column) {
    const last = this.model.visible.length - 1;
    this.active = { row: Math.max(0, Math.min(row, last)), column: Math.max(0, Math.min(column, columns.length - 1)) };
    const top = this.active.row * rowHeight;
    if (top < this.viewport.scrollTop) this.viewport.scrollTop = top;
    const bottom = top + rowHeight - this.viewport.clientHeight;
    if (bottom > this.viewport.scrollTop) this.viewport.scrollTop = bottom;
    this.onSelect(this.entry());
    this.draw();
  }

  entry() {
    return this.model.visible[this.active.row];
  }

  press(event) {
    const { row, column } = this.active;
    if (this.editor) {
      if (event.key === "Enter") { this.endEdit(true); this.move(row + 1, column); }
      else if (event.key === "Tab") { this.endEdit(true); this.move(row, column + (event.shiftKey ? -1 : 1)); }
      else if (event.key === "Escape") this.endEdit(false);
      else return;
      event.preventDefault();
      this.section.focus();
      return;
    }
    const page = Math.max(1, Math.floor(this.viewport.clientHeight / rowHeight) - 1);
    const moves = { ArrowUp: [-1, 0], ArrowDown: [1, 0], ArrowLeft: [0, -1], ArrowRight: [0, 1],
      PageUp: [-page, 0], PageDown: [page, 0], Tab: [0, event.shiftKey ? -1 : 1] };
    if (moves[event.key]) this.move(row + moves[event.key][0], column + moves[event.key][1]);
    else if (event.key === "Enter" || event.key === "F2") this.startEdit();
    else if (event.key === "Delete") this.change("");
    else if (event.key.length === 1 && !event.ctrlKey && !event.metaKey && !event.altKey) this.startEdit(event.key);
    else return;
    event.preventDefault();
  }

  startEdit(text) {
    const entry = this.entry();
    const column = columns[this.active.column];
    if (!entry || column.fixed || this.editor) return;
    const cell = this.rows.querySelector(".cell.active");
    if (!cell) return;
    this.editor = document.createElement("input");
    this.editor.value = text === undefined ? this.model.value(entry, column) : text;
    cell.replaceChildren(this.editor);
    this.editor.focus();
    this.editor.addEventListener("blur", () => this.endEdit(true));
  }

  endEdit(keep) {
    const editor = this.editor;
    if (!editor) return;
    this.editor = null;
    if (keep) this.change(editor.value);
    this.draw();
  }

  change(text) {
    const entry = this.entry();
    if (!entry) return;
    try {
      this.model.edit(entry, columns[this.active.column], text);
      this.onChange();
    } catch (error) {
      this.onError(error.message);
    }
    this.schedule();
  }

  paste(event) {
    if (this.editor) return;
    event.preventDefault();
    const errors = this.model.paste(this.active.row, this.active.column, event.clipboardData.getData("text/plain"));
    if (errors.length > 0) this.onError(`${errors.length} cells were not pasted; first: ${errors[0]}`);
    this.onChange();
    this.schedule();
  }

  copy(event) {
    const entry = this.entry();
    if (this.editor || !entry) return;
    event.clipboardData.setData("text/plain", this.model.value(entry, columns[this.active.column]));
    event.preventDefault();
  }
}
