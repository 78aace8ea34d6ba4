// Client of the operators' API.

let key = sessionStorage.getItem("operator-key") || "";

export function setKey(value) {
  key = value;
  sessionStorage.setItem("operator-key", value);
}

// ApiError is an error answer of the API. Its body has code, message, field and
// current.
export class ApiError extends Error {
  constructor(status, body) {
    super(body.message || `the host answered with status ${status}`);
    this.status = status;
    this.body = body;
  }
}

async function call(method, path, body) {
  const response = await fetch(`api/v1/${path}`, {
    method,
    headers: { Authorization: `Bearer ${key}`, "Content-Type": "application/json" },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const answer = await response.json().catch(() => ({}));
  if (!response.ok) {
    throw new ApiError(response.status, answer.error || {});
  }
  return answer;
}

const team = (name) => `teams/${encodeURIComponent(name)}`;

export const changes = (since) => call("GET", `changes?since=${since}`);
export const hosts = () => call("GET", "hosts");
export const budgets = () => call("GET", "budgets");
export const saveTeam = (name, expected, row) => call("PUT", team(name), { expected, row });
export const deleteTeam = (name, expected) => call("DELETE", team(name), { expected });
export const undoTeam = (name, expected) => call("POST", `${team(name)}/undo`, { expected });
export const history = (name) => call("GET", `${team(name)}/history`);
export const topUp = (budget, amount, token) =>
  call("POST", `budgets/${encodeURIComponent(budget)}/topups`, { amount, token });
