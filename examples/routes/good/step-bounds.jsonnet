{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'report', match: { class: 'trend-report' }, limits: { time_ms: 4000, step_ms: 2000, attempts: 2, attempt_ms: 900 } },
    { name: 'rest', default: true },
  ],
}
