// wants: tenant "west" is not known
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { tenant: 'west' } },
    { name: 'rest', default: true },
  ],
}
