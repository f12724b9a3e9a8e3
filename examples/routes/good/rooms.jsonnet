{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, room: { queries: 100, borrow: true } },
    { name: 'report', match: { class: 'trend-report' }, room: { queries: 60 } },
    { name: 'submit', match: { class: 'tally-submit' }, room: { queries: 100 } },
    { name: 'rest', default: true },
  ],
}
