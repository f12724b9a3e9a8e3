{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'a', match: { class: 'species-search' } },
    { name: 'b', match: { class: 'trend-report' } },
    { name: 'c', match: { class: 'tally-submit' } },
  ],
}
