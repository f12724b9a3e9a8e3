// wants: $.squares.MA-01.shards[1]: 3 stands there; each shard once
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [3, 3] } } }
