// wants: $.squares.MA-01.shards[0]: 24 stands there; the deployment has shards 0 to 23
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [24] } } }
