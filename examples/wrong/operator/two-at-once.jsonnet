// wants: $.process.log.level
// wants: $.squares.MA-01.shards[0]
// wants: $.placment
{ version: 1, config: '../../../deploy/counts.json', placment: {}, process: { log: { level: 'loud' } }, squares: { 'MA-01': { shards: ['one'] } } }
