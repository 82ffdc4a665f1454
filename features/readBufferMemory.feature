Feature: Memory of reading
  What a process reads is soon garbage. It takes little memory beside what the process holds, whatever the rate.

  # Guards against the compiler's 45 MB for the optimized parser of responses, by which a small host exceeded its memory under load.
  Scenario: Reading many responses does not make V8 optimize the parser of the HTTP client
    When a process reads 400 responses with heads of 12000 bytes over a link to an endpoint
    Then V8 took less than 16 MB of memory beside its heap

  # Guards against the 32 MB of read buffers that V8 lets lie where the heap hardly grows.
  Scenario: Read buffers are collected while a long response is read
    When a process reads a response of 200 MB over a link, with a limit of 8 MB on buffers
    Then its memory outside of the heap stayed below 16 MB, and compiled code of before is still accepted

  # Guards against collections that cost processor time although V8 collects by itself.
  Scenario: Nothing is collected while buffers are within their limit
    Given a limit of 1000 bytes on buffers
    When 249 bytes are read and 900 lie outside of the heap
    Then buffers were measured 0 times and collected 0 times
    When 1 byte is read and 1000 lie outside of the heap
    Then buffers were measured 1 time and collected 0 times
    When 250 bytes are read and 1001 lie outside of the heap
    Then buffers were measured 2 times and collected 1 time

  # Guards against chunks that take memory and are not counted, as nobody collects the body.
  Scenario: Chunks of bodies count as read, whether or not their bodies are wanted
    Given a listener that counts what it reads, with bodies of at most 1000 bytes
    When a caller sends bodies of 600 and 1400 bytes in chunks of 200, and one of 800 bytes behind its last request
    Then 2800 bytes count as read
