// wants: $.routes[0].limits.attempt_ms
// wants: may have run and can't go again
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'tally-submit' }, limits: { attempt_ms: 500 } },
    { name: 'rest', default: true },
  ],
}
