// wants: for class species-search
// wants: over the need
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true, limits: { floor: 1 } },
  ],
}
