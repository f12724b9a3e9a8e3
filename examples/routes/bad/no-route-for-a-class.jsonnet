// wants: some queries of class "trend-report" match no route
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' } },
    { name: 'u', match: { class: 'tally-submit' } },
  ],
}
