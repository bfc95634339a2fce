3535c090a1301d6d {"t":5000000,"e":{"k":"TimerFired","v":{"Token":4}},"a":[{"k":"CloseIdle","v":{"Server":"sh"}}]}
f08d57227394ea21 {"t":6000000,"e":{"k":"TimerFired","v":{"Token":5}},"a":[{"k":"Count","v":{"Name":60,"Add":61.5,"TTL":62}}]}
db3a6c20998b26b7 {"t":7000000,"e":{"k":"Counted","v":{"Name":63,"Outcome":64,"Total":65.5,"Took":66}}}
d15537c872a903e8 {"t":9000000,"e":{"k":"TimerFired","v":{"Token":8}},"a":[{"k":"FetchList","v":{}}]}
6d7e9409c700ee45 {"t":11000000,"e":{"k":"TimerFired","v":{"Token":10}},"a":[{"k":"Log","v":{"Text":"sz"}}]}
6cdf40fc9e2a9f06 {"t":13000000,"e":{"k":"TimerFired","v":{"Token":12}},"a":[{"k":"Probe","v":{"Server":"sc"}}]}
e541a4476aa20d60 {"t":14000000,"e":{"k":"ProbeEnded","v":{"Server":"sd","Outcome":82,"Took":83,"Report":{"load":85.5}}}}
b859892f8215ee6a {"t":19000000,"e":{"k":"TimerFired","v":{"Token":18}},"a":[{"k":"Subscribe","v":{"On":true}}]}
