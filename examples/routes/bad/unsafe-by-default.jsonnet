// wants: for class tally-submit
// wants: attempt_ms
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true, limits: { attempt_ms: 500 } },
  ],
}
