// wants: shard 24 does not exist
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { shards: [24] } },
    { name: 'rest', default: true },
  ],
}
