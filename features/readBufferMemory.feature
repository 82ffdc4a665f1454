Feature: Memory of reading
  What a process reads is soon garbage. It takes little memory beside what the process holds, whatever the rate.

  # Guards against the compiler's 45 MB for the optimized parser of responses, by which a small host exceeded its memory under load.
  Scenario: Reading many responses does not make V8 optimize the parser of the HTTP client
    When a process reads 400 responses with heads of 12000 bytes over a link to an endpoint
    Then V8 took less than 16 MB of memory beside its heap
