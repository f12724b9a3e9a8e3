// wants: $.routes[0].limits.time_ms: -5 stands there
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { time_ms: -5 } },
    { name: 'rest', default: true },
  ],
}
