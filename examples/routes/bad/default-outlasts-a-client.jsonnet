// wants: for class species-search
// wants: outlasts
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true, limits: { time_ms: 5000 } },
  ],
}
