// wants: for class species-search
// wants: outlasts the client
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { time_ms: 3500 } },
    { name: 'rest', default: true },
  ],
}
