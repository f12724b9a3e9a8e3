// wants: a burst of at least 1 is needed
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, room: { rate_per_s: 5 } },
    { name: 'rest', default: true },
  ],
}
