// wants: some queries of class "species-search" match no route
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search', shards: [1] } },
    { name: 't', match: { class: 'trend-report' } },
    { name: 'u', match: { class: 'tally-submit' } },
  ],
}
