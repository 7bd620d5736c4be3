// Settings of `stonetrack demo`: any key, one model, stand-ins from a list.
local st = import 'stonetrack.libsonnet';

st.node(['demo'], { url: std.extVar('list_url') }) + {
  listen: { host: '127.0.0.1', port: std.parseInt(std.extVar('port')) },
  any_key: true,
  tenants: [st.tenant('demo')],
  state_dir: std.extVar('state_dir'),
  kinds: [k + st.extended for k in super.kinds],
  classes: [
    st.class('chat', 2000, 20000),
    st.class('long', 5000, 40000) { worth: 2 },
  ],
  rules: [st.rule('long') { min_prompt_tokens: 4000 }],
  routing: { may_hold_place: true },
}
