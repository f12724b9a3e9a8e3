{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, limits: { budget_share: 0.6 } },
    { name: 'report', match: { class: 'trend-report' }, limits: { budget_share: 0.2 } },
    { name: 'rest', default: true },
  ],
}
