// Templates for stonetrack's settings.  import 'stonetrack.libsonnet'
{
  local lib = self,

  // A class of requests; times in milliseconds.
  class(name, first_token_ms, deadline_ms):: {
    name: name,
    first_token_ms: first_token_ms,
    deadline_ms: deadline_ms,
  },
  safe:: { effect: 'safe' },
  keyed(window_ms, scope='all'):: { effect: 'keyed', scope: scope, key_window_ms: window_ms },
  unsafe:: { effect: 'unsafe' },

  // Kinds of engine.  `extended` engines speak the release and hold extension (docs/node.md).
  reader(memory_tokens=0):: { name: 'reader', role: 'reader', memory_tokens: memory_tokens },
  writer(memory_tokens=0):: { name: 'writer', role: 'writer', memory_tokens: memory_tokens },
  mixed(memory_tokens=0):: { name: 'mixed', role: 'mixed', memory_tokens: memory_tokens },
  extended:: { release: true, hold: true },

  // Rules giving requests their class; the first that holds wins, else the first class.
  rule(to):: { to: to },
  for_header(name, value):: { header: { name: name, value: value } },
  for_model(model):: { model: model },

  // A tenant whose keys are given by hash: `stonetrack hash-key` prints one.
  tenant(name, key_hashes=[], quota_per_second=0):: {
    name: name,
    key_hashes: key_hashes,
    quota_per_second: quota_per_second,
  },

  // A node with one class of chat and readers and writers, to be extended with `+`.
  node(models, source):: {
    models: [{ name: m } for m in models],
    classes: [lib.class('chat', 2000, 20000)],
    kinds: [lib.reader(200000), lib.writer(150000), lib.mixed(150000)],
    source: source,
    any_key: false,
  },
}
