{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, limits: { attempt_ms: 300, attempts: 2, time_ms: 1000 } },
    { name: 'rest', default: true },
  ],
}
