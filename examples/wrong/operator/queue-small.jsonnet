// wants: $.process.log.queue: 4 stands there; from 16 to 65536 lines is right
{ version: 1, config: '../../../deploy/counts.json', process: { log: { queue: 4 } } }
