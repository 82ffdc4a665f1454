Feature: A change reaches every host in time
  A few hosts read the store for all others. Whatever befalls them, a host that nothing has touched has each configuration, and
  knows each endpoint that leaves, within the site's bounds.

  Scenario Outline: Followers of a store reader that <fault> have a change within the bounds
    Given <hosts> hosts in <zones> zones with bounds of <configurationMs> and <drainMs> ms
    When the first store reader <fault>, and a change is written 0 to 1500 ms later
    Then every host that no fault touched has the change within the bounds, also from a store that takes 200 ms to answer

    Examples:
      | fault                        | hosts | zones | configurationMs | drainMs |
      | freezes                      | 9     | 3     | 2000            | 2000    |
      | loses the store              | 9     | 3     | 2000            | 2000    |
      | is refused by the store      | 9     | 3     | 2000            | 2000    |
      | is killed                    | 9     | 3     | 2000            | 2000    |
      | loses the store              | 7     | 4     | 2000            | 3000    |
      | freezes                      | 80    | 3     | 3000            | 3000    |

  Scenario Outline: Followers of two store readers, of which one <first> and the other <second>, have a change within the bounds
    Given <hosts> hosts in <zones> zones with bounds of <configurationMs> and <drainMs> ms
    When the first store reader <first>, the others <second> <apartMs> ms later, and a change is written 0 to 1500 ms later
    Then every host that no fault touched has the change within the bounds, also from a store that takes 200 ms to answer

    Examples:
      | first           | second          | apartMs | hosts | zones | configurationMs | drainMs |
      | freezes         | loses the store | 100     | 9     | 3     | 2000            | 2000    |
      | loses the store | freezes         | 600     | 9     | 3     | 2000            | 2000    |
      | freezes         | freezes         | 0       | 7     | 4     | 2000            | 2000    |
      | loses the store | loses the store | 900     | 9     | 3     | 2000            | 2000    |
      | is killed       | loses the store | 300     | 80    | 3     | 3000            | 3000    |
      | freezes         | loses the store | 100     | 340   | 4     | 3000            | 3000    |

  Scenario Outline: A watch of <table> that hangs doesn't hide behind another table that is read
    Given <hosts> hosts in <zones> zones with bounds of 2000 and 2000 ms
    When the open calls for <table> of all store readers hang, and a change is written 0 to 1500 ms later
    Then every host has the change within the bounds, also from a store that takes 200 ms to answer

    Examples:
      | table   | hosts | zones |
      | op      | 9     | 3     |
      | servers | 9     | 3     |
      | op      | 7     | 4     |

  Scenario: Hosts that follow a store reader don't read the store while nothing is wrong
    Given 80 hosts in 3 zones with bounds of 2000 and 2000 ms
    When 10000 ms pass without a fault
    Then the store was called at most 9 times a second for each store reader

  # Guards against engines that keep a dead owner, as the host that takes over checks a renewal of which it missed a change.
  Scenario: Hosts begin to read the renewals of hosts that ended together with the store readers
    Given 5 hosts in 1 zones with bounds of 2000 and 2000 ms
    When all hosts renew their rows, and the store readers are killed after one more renewal
    Then every host that runs knows the last renewals 6000 ms later
