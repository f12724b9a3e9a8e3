{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true },
  ],
}
