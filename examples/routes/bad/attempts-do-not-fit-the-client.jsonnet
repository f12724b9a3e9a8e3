// wants: can't fit in 3000 ms
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { attempts: 3, attempt_ms: 1500 } },
    { name: 'rest', default: true },
  ],
}
