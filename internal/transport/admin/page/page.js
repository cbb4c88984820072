'use strict';

const api = '/admin/v1';
const staleAfterMs = 10000;
const reconnectMs = 2000;
const resultMs = 8000;
const progressMs = 20000;
const indicators = { availability: 'availability', ttft: 'time to first token', itl: 'time between tokens', onTimeMoves: 'moves on time' };
const byId = (id) => document.getElementById(id);

let key = sessionStorage.getItem('operatorKey');
let lastUpdate = 0;
let stream = null;

// element builds an element from text and children only, so that nothing in the data is read as HTML.
function element(tag, className, ...children) {
  const node = document.createElement(tag);
  if (className) node.className = className;
  node.append(...children.filter((c) => c !== null && c !== undefined));
  return node;
}

function card(state, title, ...details) {
  return element('div', 'card ' + state, element('p', '', title), ...details.map((d) => (typeof d === 'string' ? element('small', '', d) : d)));
}

function show(id, cards, empty) {
  byId(id).replaceChildren(...(cards.length ? cards : [element('p', '', empty)]));
}

async function call(method, path, body, headers) {
  const response = await fetch(api + path, {
    method,
    headers: { Authorization: 'Bearer ' + key, ...headers },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const answer = await response.json();
  if (!response.ok) throw new Error(answer.error ? answer.error.message : 'status ' + response.status);
  return answer;
}

function say(text) {
  const result = byId('result');
  result.textContent = text;
  result.hidden = false;
  clearTimeout(say.timer);
  say.timer = setTimeout(() => { result.hidden = true; }, resultMs);
}

function ask(question, yes) {
  byId('question').textContent = question;
  byId('yes').textContent = yes;
  const dialog = byId('confirm');
  dialog.showModal();
  return new Promise((resolve) => {
    dialog.addEventListener('close', () => resolve(dialog.returnValue === 'yes'), { once: true });
    dialog.returnValue = 'no';
  });
}

// tellProgress shows the progress of a change until it is in force or progressMs have passed.
async function tellProgress(label, progress) {
  const until = Date.now() + progressMs;
  say(label + ': ' + progress.summary);
  while (progress.state !== 'inForce' && Date.now() < until) {
    await new Promise((resolve) => { setTimeout(resolve, 1000); });
    progress = await call('GET', '/changes/' + progress.offset);
    say(label + ': ' + progress.summary);
  }
}

// action returns a button that asks for confirmation, calls run and shows the result; it is disabled if blocked has a reason.
function action(label, question, blocked, run) {
  const button = element('button', '', label);
  button.type = 'button';
  if (blocked) {
    button.disabled = true;
    button.title = blocked;
    return button;
  }
  button.addEventListener('click', async () => {
    if (!(await ask(question, label))) return;
    button.disabled = true;
    try {
      const change = await run();
      await tellProgress(label, change.progress);
    } catch (err) {
      say(label + ' failed: ' + err.message);
    }
    button.disabled = false;
  });
  return button;
}

const ended = (move) => move.state === 'done' || move.state === 'takenBack';

function moveCard(move, blocked) {
  const state = move.state === 'takenBack' || (!ended(move) && new Date(move.deadline) < new Date()) ? 'bad' : 'good';
  const share = element('div', 'bar', element('div', ''));
  share.firstChild.style.width = move.sharePermille / 10 + '%';
  const details = [share, 'deadline ' + new Date(move.deadline).toLocaleString()];
  if (!ended(move)) {
    const act = (name) => () => call('POST', '/moves/' + encodeURIComponent(move.id) + '/actions', { action: name });
    const actions = element('div', 'actions');
    if (move.state === 'paused') actions.append(action('Resume', 'Let the move ' + move.id + ' go on?', blocked, act('resume')));
    else actions.append(action('Pause', 'Keep ' + move.to + ' at its share for now?', blocked, act('pause')));
    actions.append(action('Take back', 'Send all traffic of ' + move.model + ' to ' + move.from + ' again?', blocked, act('takeBack')));
    details.push(actions);
    if (blocked) details.push(blocked);
  }
  return card(state, move.summary, ...details);
}

const isSick = (engine) => engine.ejected || engine.reportAgeMs < 0 || engine.reportAgeMs > 5000;
const sickFirst = (engines) => [...engines].sort((a, b) => isSick(b) - isSick(a));

function engineCard(engine, blocked) {
  const state = isSick(engine) ? 'bad' : 'good';
  const words = engine.ejected ? 'gets no requests after failures' : engine.leaving ? 'leaving, gets no new work' : 'serves';
  const drain = action(engine.leaving ? 'Take into use' : 'Drain', (engine.leaving ? 'Give ' : 'Stop giving ') + engine.id + ' new work?', blocked, async () => {
    const path = '/upstreams/' + encodeURIComponent(engine.id);
    const now = await call('GET', path);
    return call('PUT', path, { ...now.entity, leaving: !engine.leaving }, { 'If-Match': '"' + now.revision + '"' });
  });
  return card(state, engine.id + ' ' + words, engine.model + ' ' + (engine.versions || []).join(', ') + '; ' + engine.queuedTokens + ' tokens wait',
    element('div', 'actions', drain));
}

function memberCard(member) {
  return card(member.live && member.state === 'joined' ? 'good' : 'bad',
    member.id + (member.live ? ' answers' : ' does not answer'), member.failureDomain + ', ' + member.state + ', applied ' + member.applied);
}

// burnCards returns a card for each objective with a burn rate alert, and one card for all others.
function burnCards(burn) {
  const rows = burn.rows || [];
  const calm = rows.filter((row) => row.alert === 'none').length;
  const cards = rows.filter((row) => row.alert !== 'none').map((row) => card('bad',
    [row.route, row.organisation].filter(Boolean).join(' / ') + ' ' + indicators[row.indicator],
    Math.round(row.budgetLeft * 100) + ' % of the error budget left' + ', burning ' + row.alert));
  if (calm) cards.push(card('good', calm + ' objectives are within their budgets', burn.daemons + ' of ' + burn.daemonsAsked + ' daemons counted'));
  return cards;
}

function render(update) {
  const status = update.status;
  const blocked = update.logDown ? 'The log service is down; changes are not possible now.' : '';
  show('problems', status.problems.map((p) => card('bad', p)), 'Nothing is wrong.');
  show('moves', status.moves.map((m) => moveCard(m, blocked)), 'No moves.');
  show('burn', burnCards(update.burn), 'No requests counted yet.');
  show('organisations', (update.overRate || []).map((o) => card('bad', o.id, o.refused + ' requests refused for the rate by this daemon in the last minute')), 'None.');
  show('engines', sickFirst(status.engines).map((e) => engineCard(e, blocked)), 'No engines.');
  show('members', status.members.map(memberCard), 'No daemons.');
  lastUpdate = Date.now();
}

// follow renders the updates of the stream until it ends.
async function follow() {
  stream = new AbortController();
  const response = await fetch(api + '/updates', { headers: { Authorization: 'Bearer ' + key }, signal: stream.signal });
  if (response.status === 401) throw Object.assign(new Error('the key is not known'), { signOut: true });
  if (!response.ok) throw new Error('status ' + response.status);
  byId('sign-in').hidden = true;
  byId('content').hidden = false;
  byId('sign-out').hidden = false;
  sessionStorage.setItem('operatorKey', key);
  const reader = response.body.pipeThrough(new TextDecoderStream()).getReader();
  let rest = '';
  for (;;) {
    const { value, done } = await reader.read();
    if (done) return;
    const events = (rest + value).split('\n\n');
    rest = events.pop();
    for (const event of events) if (event.startsWith('data: ')) render(JSON.parse(event.slice(6)));
  }
}

function signOut(reason) {
  key = null;
  sessionStorage.removeItem('operatorKey');
  byId('sign-in').hidden = false;
  byId('content').hidden = true;
  byId('sign-out').hidden = true;
  byId('sign-in-error').textContent = reason || '';
}

async function keepFollowing() {
  while (key) {
    try {
      await follow();
    } catch (err) {
      if (err.signOut) return signOut(err.message);
    }
    if (key) await new Promise((resolve) => { setTimeout(resolve, reconnectMs); });
  }
}

setInterval(() => {
  const age = Date.now() - lastUpdate;
  byId('freshness').textContent = !lastUpdate ? 'not connected' : age > staleAfterMs
    ? 'no news for ' + Math.round(age / 1000) + ' s' : 'up to date';
}, 1000);

byId('sign-in').addEventListener('submit', (event) => {
  event.preventDefault();
  key = byId('key').value.trim();
  byId('key').value = '';
  keepFollowing();
});
byId('sign-out').addEventListener('click', () => {
  signOut();
  if (stream) stream.abort();
});
if (key) keepFollowing();
