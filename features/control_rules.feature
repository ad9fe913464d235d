Feature: Rules of the control plane, tested without processes
  The steps call the daemon's classes directly.

  Scenario: An older configuration never replaces a newer one
    Given a current configuration built from 9 log records
    When a configuration built from 8 log records arrives late
    Then the configuration built from 9 log records stays current

  Scenario: A retry budget limits a burst of retries
    Given a retry budget of 0.2 with a slack of 4 shared by 2 routers
    When 20 requests arrive and each attempts a retry
    Then 6 retries are allowed

  Scenario: The load and placements of a suspected peer are dropped
    Given a router whose peer reported 5 requests and a placed prefix on "e0"
    When the peer is suspected
    Then the router counts 0 requests and no placed prefix there

  Scenario: A loop continues after a failed step
    Given a loop whose step fails the first 2 times
    Then the step runs at least 5 times within 0.5 s

  Scenario: A large configuration is read completely although it changes between pages
    Given a log service that stores 1200 teams
    When a team changes while the pages are read
    Then all 1200 teams are read, the changed one with its new values

  Scenario Outline: A syntax error in a command is reported with its column: <text>
    Then "<text>" is refused at column <column>

    Examples:
      | text                                  | column |
      | show runing                           | 6      |
      | show running where tem = x            | 20     |
      | create team                           | 12     |
      | alter upstream x set slot = 4         | 22     |
      | show refused since 5                  | 20     |
      | load model m on upstream a            | 14     |
