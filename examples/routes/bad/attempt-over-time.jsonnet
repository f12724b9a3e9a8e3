// wants: limits.attempt_ms
// wants: an attempt of 2500 ms in a query of 2000 ms
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 't', match: { class: 'trend-report' }, limits: { attempt_ms: 2500, time_ms: 2000 } },
    { name: 'rest', default: true },
  ],
}
