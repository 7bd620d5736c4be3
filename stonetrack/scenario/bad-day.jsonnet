// The bad day: every trouble the stand-ins know, a kill and a restart of an instance, both fronts, rude clients.
local engine(name, role, cell) = {
  name: name, role: role, cell: cell,
  slots: 24, queue: 24, memory_tokens: 120000,
  read_rate: 40000, read_ms: 3, token_ms: 8, answer_least: 6, answer_most: 24,
  warm_ms: 5000, cold_window_ms: 1500,
};
local all(what, at, args={}, jitter=300) = { at_ms: at, what: what, jitter_ms: jitter, args: args };
local some(what, at, role, count=1, args={}, jitter=300) =
  all(what, at, args, jitter) + { role: role, count: count };

{
  name: 'bad-day',
  seconds: 24,
  instances: 3,
  engines:
    [engine('r%d' % n, 'reader', n % 2) for n in std.range(0, 4)]
    + [engine('w%d' % n, 'writer', n % 2) for n in std.range(0, 4)]
    + [engine('m%d' % n, 'mixed', n % 2) for n in std.range(0, 1)],
  list_delay_ms: 250,
  settings: {
    routing: { warm_within_ms: 5000, cold_window_ms: 1500 },
    timing: { stream_silence_ms: 3000 },
  },
  clients: {
    rate: 85,
    classes: [
      { name: 'quick-find', share: 0.5, worth: 1, late_worth: 0.25, aim_ms: 1000, deadline_ms: 3000, beginning: [150, 500], max_tokens: 16 },
      { name: 'trip-plan', share: 0.38, worth: 3, late_worth: 0.2, aim_ms: 1500, deadline_ms: 4000, turns: [2, 6], beginning: [300, 1200], max_tokens: 24 },
      { name: 'book-once', share: 0.07, worth: 2, aim_ms: 1500, deadline_ms: 3000, effect: 'unsafe', max_tokens: 10 },
      { name: 'book-keyed', share: 0.05, worth: 2, aim_ms: 1500, deadline_ms: 3000, effect: 'keyed', max_tokens: 10 },
    ],
  },
  troubles: [
    some('slow', 1000, 'reader', 1, { factor: 6, for_ms: 2500 }),
    some('hang', 2000, 'writer', 1, { for_ms: 2500 }),
    some('flush', 3000, 'reader', 3),
    some('half', 3500, 'writer', 2, { count: 3 }),
    some('leave', 4500, 'writer', 1, { notice_ms: 900, down_ms: 1200 }),
    some('errors', 5500, 'reader', 1, { share: 0.6, for_ms: 1500 }),
    some('lost', 6500, 'reader', 2, { share: 0.5, for_ms: 1500 }),
    { at_ms: 7500, what: 'kill', instance: 1, jitter_ms: 300 },
    some('crash', 8500, 'reader', 1, { down_ms: 1500 }),
    some('full', 9500, 'writer', 2, { for_ms: 1000 }),
    all('burst', 10500, { factor: 2.0, for_ms: 2000 }),
    all('list_late', 11000, { delay_ms: 1800, for_ms: 4000 }),
    some('crash', 12000, 'writer', 2, { down_ms: 1200 }),
    some('throttle', 13500, 'writer', 3, { class: 'trip-plan', after_ms: 250, for_ms: 1500 }),
    some('pause', 14500, 'reader', 2, { for_ms: 500 }),
    some('pause', 15200, 'writer', 2, { for_ms: 500 }),
    all('new_beginning', 15500, { share: 0.4, for_ms: 2000 }),
    some('leave', 16500, 'reader', 2, { notice_ms: 700, down_ms: 1000 }),
    { at_ms: 17500, what: 'kill', instance: 2, jitter_ms: 300 },
    some('hang', 18500, 'reader', 1, { for_ms: 2000 }),
    some('lost', 19000, 'writer', 1, { share: 0.4, for_ms: 1500 }),
    some('close_idle', 20000, 'writer', 2, { on: true }),
    some('crash', 20500, 'mixed', 1, { down_ms: 1000 }),
    { at_ms: 21000, what: 'reload' },
    some('half', 21500, 'writer', 2, { count: 2 }),
  ],
}
