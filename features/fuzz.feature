Feature: Fuzzing against the promises
  Sequences of requests, faults and operators' changes run over the real tasks on a virtual clock. An oracle that knows
  the promises alone reads what callers were told and the journals of the engines.

  Scenario Outline: Seed <seed>
    When 40 sequences are fuzzed with seed <seed>
    Then no promise is broken

    Examples:
      | seed |
      | 1    |
      | 2    |

    @knownRed
    Examples: Over its time on a busy machine
      | seed |
      | 3    |

  # Each of these broke a promise once.
  Scenario Outline: <fault>
    When this sequence runs: '<sequence>'
    Then no promise is broken

    Examples:
      | fault | sequence |
      | a lost attempt followed by one that is refused | stallEngine(0),stallEngine(2),request({"gateway":0,"model":"alpha","tokens":1,"content":"crash one","className":"urgent"}),leaveEngine(1),advance(8000),advance(3500) |
      | a load that an engine carries out after its restart | request({"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"later"}),request({"gateway":0,"model":"gamma","tokens":1,"content":"hello","className":"later"}),stopScheduler(0),restartEngine(1),pause(0),stallEngine(0),stallEngine(2),request({"gateway":3,"model":"theta@2","tokens":1,"content":"hello","className":"urgent"}),advance(8000),advance(5) |
      | every slot blocked by adapters of a killed owner | request({"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"later"}),request({"gateway":0,"model":"eta","tokens":1,"content":"hello","className":"later"}),stopScheduler(1),advance(8000),request({"gateway":0,"model":"alpha@2","tokens":1,"content":"hello","className":"urgent"}),killScheduler(3),addScheduler(0),killScheduler(0),setTableDown(true),returnEngine(0) |
      | no slot to be had beside adapters of a killed owner | request({"gateway":0,"model":"epsilon","tokens":1,"content":"hello","className":"urgent"}),leaveEngine(0),request({"gateway":0,"model":"eta","tokens":1,"content":"hello","className":"later"}),stopScheduler(4),advance(8000),advance(8000),request({"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"urgent"}),addScheduler(0),request({"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"later"}),setTableDown(true),killScheduler(0),killScheduler(0),returnEngine(0) |
      | an endpoint that leaves while the table is slow | slowTable(1500),leaveEngine(2),delayWrites(1),advance(8000),request({"gateway":0,"model":"zeta","tokens":1,"content":"hello","className":"urgent"}),advance(900),stopScheduler(0) |
      | a request that was queued while its like crashed two endpoints | burst([{"gateway":0,"model":"alpha","tokens":1,"content":"crash one","className":"urgent"},{"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"urgent"},{"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"urgent"},{"gateway":0,"model":"alpha","tokens":1,"content":"crash one","className":"later"}]) |

  Scenario Outline: Without the mechanism behind <promise>, the fuzzer finds it broken
    When the mechanism behind <promise> is switched off and <runs> sequences are fuzzed with seed 1
    Then <promise> is broken

    Examples:
      | promise                   | runs |
      | rightAdapter              | 20   |
      | neverUnloadedWhileServing | 20   |
      | wholeAnswer               | 20   |
      | notRunMeansNotRun         | 20   |
      | atMostOnce                | 20   |
      | leavingGetsNoWork         | 20   |
      | configurationHolds        | 20   |

  Scenario Outline: Without <mechanism>, the fuzzer finds <promise> broken for calls of plain services
    When the mechanism behind <mechanism> is switched off and 20 sequences are fuzzed with seed 1
    Then <promise> is broken

    Examples:
      | mechanism           | promise    |
      | callsNotRepeated    | atMostOnce |
      | lostCallsMayHaveRun | atMostOnce |

  Scenario: A call whose connection was lost may have run, and is told so
    When the mechanism behind lostCallsMayHaveRun is switched off and this sequence runs: 'leaveService(0),advance(3500),loseCallAnswers([1,1]),call({"gateway":0,"isIdempotent":false}),advance(900)'
    Then notRunMeansNotRun is broken

  Scenario: A second try of work that ran is not told "not run" while the table is silent
    When the mechanism behind silentTableMayHaveRun is switched off and this sequence runs: 'claimed({"gateway":0,"model":"alpha@1","tokens":5,"content":"decide","className":"urgent","key":"key-1"}),advance(3500),setTableDown(true),claimed({"gateway":1,"model":"alpha@1","tokens":5,"content":"decide","className":"urgent","key":"key-1"}),advance(8000)'
    Then notRunMeansNotRun is broken

  Scenario Outline: Without the mechanism behind <promise>, this sequence breaks it
    When the mechanism behind <promise> is switched off and this sequence runs: '<sequence>'
    Then <promise> is broken

    Examples:
      | promise             | sequence |
      | gracefulCutsNothing | stopSchedulerUnderWork(1) |
      | configurationHolds  | pause(0),advance(3500),change({"gateway":0,"adapter":"alpha","currentVersion":"2"}),advance(8000),slowTable(1500),wake(0),advance(900) |
      | loadsWithinBudget   | setTableDown(true),advance(8000),slowWeights(3000),burst([{"gateway":0,"model":"alpha","tokens":1,"content":"hello","className":"urgent"},{"gateway":0,"model":"beta","tokens":1,"content":"hello","className":"urgent"},{"gateway":1,"model":"gamma","tokens":1,"content":"hello","className":"urgent"},{"gateway":1,"model":"delta","tokens":1,"content":"hello","className":"urgent"},{"gateway":0,"model":"epsilon","tokens":1,"content":"hello","className":"urgent"},{"gateway":1,"model":"zeta","tokens":1,"content":"hello","className":"urgent"}]),advance(8000) |
      | crashesBounded      | request({"gateway":0,"model":"alpha","tokens":1,"content":"crash one","className":"later"}),advance(8000),advance(8000),request({"gateway":0,"model":"alpha","tokens":1,"content":"crash one","className":"urgent"}) |
