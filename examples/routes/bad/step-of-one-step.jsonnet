// wants: it has one step
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { step_ms: 500 } },
    { name: 'rest', default: true },
  ],
}
