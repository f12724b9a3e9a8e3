// wants: limits.step_ms
// wants: a step of 3000 ms in a query of 2000 ms
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 't', match: { class: 'trend-report' }, limits: { step_ms: 3000, time_ms: 2000 } },
    { name: 'rest', default: true },
  ],
}
