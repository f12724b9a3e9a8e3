// wants: less than the 2 turns
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { time_ms: 5 } },
    { name: 'rest', default: true },
  ],
}
