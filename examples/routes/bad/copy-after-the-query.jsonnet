// wants: the query is over before a copy
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { copy_after_ms: 1600, time_ms: 1500 } },
    { name: 'rest', default: true },
  ],
}
