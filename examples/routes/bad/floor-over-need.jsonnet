// wants: a floor of 0.9 over the need, 0.75
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { floor: 0.9 } },
    { name: 'rest', default: true },
  ],
}
