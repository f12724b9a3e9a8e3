{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, limits: { time_ms: 2000, attempt_ms: 600, attempts: 3 } },
    { name: 'report', match: { class: 'trend-report' }, limits: { time_ms: 5000, step_ms: 3000 } },
    { name: 'submit', match: { class: 'tally-submit' }, limits: { time_ms: 3000, attempts: 1 } },
    { name: 'rest', default: true },
  ],
}
