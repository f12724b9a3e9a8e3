// wants: clients heed at most 500 ms
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { come_back_ms: 2000 } },
    { name: 'rest', default: true },
  ],
}
