Feature: Rewriting and decoding of relayed response data

  Scenario Outline: The handle is replaced by adapter and version, only in model fields
    When an engine sends <sent> under handle "tax@2#1.1"
    Then callers of "tax@2" see <shown>

    Examples:
      | sent                                                        | shown                                                   |
      | data: {"model":"tax@2#1.1"}                                 | data: {"model":"tax@2"}                                 |
      | data: {"id":1, "model" : "tax@2#1.1"}                       | data: {"id":1, "model" : "tax@2#1.1"}                   |
      | data: {"model": "tax@2#1.1"}                                | data: {"model": "tax@2"}                                |
      | data: {"model":"tax@2#1.1"} data: {"model":"tax@2#1.1"}     | data: {"model":"tax@2"} data: {"model":"tax@2"}         |
      | data: {"model":"tax@2#1.10"}                                | data: {"model":"tax@2#1.10"}                            |
      | data: {"name":"tax@2#1.1","model":"tax@2#1.1"}              | data: {"name":"tax@2#1.1","model":"tax@2"}              |
      | data: {"text":"\\"model\\":\\"tax@2#1.1\\""}                | data: {"text":"\\"model\\":\\"tax@2#1.1\\""}            |
      | "tax@2#1.1"                                                 | "tax@2#1.1"                                             |

  Scenario Outline: A response chunk that does not match its schema fails the decoding of its batch, which ends the link
    When a peer sends the batch <batch>
    Then the batch is decoded as <decoded>

    Examples:
      | batch                                              | decoded                        |
      | [["req-1",1,7,"data: {}"]]                         | chunk 7 of "req-1", "data: {}" |
      | [["req-1",1,7,"data: {}","more"]]                  | nothing                        |
      | [["req-1",1,7]]                                    | nothing                        |
      | [["req-1",1,"7","data: {}"]]                       | nothing                        |
      | [["req-1",1,0.5,"data: {}"]]                       | nothing                        |
      | [[]]                                               | nothing                        |
      | [null]                                             | nothing                        |
