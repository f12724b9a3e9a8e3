// wants: $.process.log.lvl
// wants: is "level" meant?
{ version: 1, config: '../../../deploy/counts.json', process: { log: { lvl: 'info' } } }
