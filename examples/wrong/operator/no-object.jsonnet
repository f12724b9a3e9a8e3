// wants: $: a list of 0 stands there; an object belongs there
[] // config: '../../../deploy/counts.json'
